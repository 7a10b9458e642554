Feature: An agent runs a key at most once

  Background:
    Given a key guard of incarnation 7 with tickets of 10 seconds

  Scenario: A copy of a dispatch that ran is refused as a duplicate
    Given the guard gave a ticket for "k" at 0 s
    When the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 1 s
    And the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    Then the guard answered "started, duplicate_key"

  Scenario: A claim that names an old incarnation is refused, whatever its ticket
    Given the guard gave a ticket for "k" at 0 s
    When the guard gets the claim 5 on "k" with ticket 1 of incarnation 6 at 1 s
    Then the guard answered "stale_incarnation"

  Scenario: A ticket ends on the agent's own clock
    Given the guard gave a ticket for "k" at 0 s
    When the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 10 s
    Then the guard answered "ticket_expired"

  Scenario: A ticket does not serve another key
    Given the guard gave a ticket for "k" at 0 s
    When the guard gets the claim 5 on "other" with ticket 1 of incarnation 7 at 1 s
    Then the guard answered "ticket_expired"

  Scenario: A tombstoned claim never starts, and a later one does
    Given the guard gave a ticket for "k" at 0 s
    And the guard gave a ticket for "k" at 0 s
    When the guard is told to tombstone claim 5 on "k" with ticket 1 at 1 s
    And the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    And the guard gets the claim 4 on "k" with ticket 2 of incarnation 7 at 2 s
    And the guard gets the claim 6 on "k" with ticket 2 of incarnation 7 at 3 s
    Then the guard answered "not started, tombstoned, tombstoned, started"

  Scenario: A lower claim than the one started is fenced
    Given the guard gave a ticket for "k" at 0 s
    And the guard gave a ticket for "k" at 0 s
    When the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 1 s
    And the guard gets the claim 4 on "k" with ticket 2 of incarnation 7 at 1 s
    Then the guard answered "started, fenced"

  Scenario: A refusal uses the ticket up, so a late copy cannot start
    Given the guard gave a ticket for "k" at 0 s
    When the busy guard gets the claim 5 on "k" with ticket 1 at 1 s
    And the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    Then the guard answered "overloaded, ticket_expired"

  Scenario: A tombstone of another incarnation proves nothing
    When the guard is told to tombstone claim 5 on "k" of incarnation 6 at 1 s
    Then the guard answered "forgotten"

  Scenario: A key that is no longer remembered counts as started
    Given the guard gave a ticket for "k" at 0 s
    And the guard ran 2000 other keys after claim 5 on "k" with ticket 1
    When the guard is told to tombstone claim 5 on "k" with ticket 1 at 2 s
    And the guard gets the claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    Then the guard answered "forgotten, duplicate_key"
    And the guard remembers at most 1000 keys and 1000 answer bytes
