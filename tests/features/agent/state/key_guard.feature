Feature: An agent runs an idempotency key at most once

  Background:
    Given a key guard of incarnation 7 with tickets of 10 seconds

  Scenario: A duplicate of a dispatch that was started is refused
    Given the guard issued a ticket for "k" at 0 s
    When the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 1 s
    And the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    Then the guard answered "started, duplicate_key"

  Scenario: A claim with an old incarnation is refused even with a live ticket
    Given the guard issued a ticket for "k" at 0 s
    When the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 6 at 1 s
    Then the guard answered "stale_incarnation"

  Scenario: A ticket expires on the agent's own clock
    Given the guard issued a ticket for "k" at 0 s
    When the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 10 s
    Then the guard answered "ticket_expired"

  Scenario: A ticket is not valid for another key
    Given the guard issued a ticket for "k" at 0 s
    When the guard receives a dispatch of claim 5 on "other" with ticket 1 of incarnation 7 at 1 s
    Then the guard answered "ticket_expired"

  Scenario: A tombstoned or older claim never starts, and a later one does
    Given the guard issued a ticket for "k" at 0 s
    And the guard issued a ticket for "k" at 0 s
    When the guard receives a tombstone of claim 5 on "k" with ticket 1 at 1 s
    And the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    And the guard receives a dispatch of claim 4 on "k" with ticket 2 of incarnation 7 at 2 s
    And the guard receives a dispatch of claim 6 on "k" with ticket 2 of incarnation 7 at 3 s
    Then the guard answered "not started, tombstoned, tombstoned, started"

  Scenario: A claim with a lower offset than the started one is fenced
    Given the guard issued a ticket for "k" at 0 s
    And the guard issued a ticket for "k" at 0 s
    When the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 1 s
    And the guard receives a dispatch of claim 4 on "k" with ticket 2 of incarnation 7 at 1 s
    Then the guard answered "started, fenced"

  Scenario: A refusal consumes the ticket, so a late duplicate cannot start
    Given the guard issued a ticket for "k" at 0 s
    When the busy guard receives a dispatch of claim 5 on "k" with ticket 1 at 1 s
    And the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    Then the guard answered "overloaded, ticket_expired"

  Scenario: A tombstone for another incarnation is answered with forgotten
    When the guard receives a tombstone of claim 5 on "k" of incarnation 6 at 1 s
    Then the guard answered "forgotten"

  Scenario: An evicted key counts as started
    Given the guard issued a ticket for "k" at 0 s
    And the guard ran 2000 other keys after claim 5 on "k" with ticket 1
    When the guard receives a tombstone of claim 5 on "k" with ticket 1 at 2 s
    And the guard receives a dispatch of claim 5 on "k" with ticket 1 of incarnation 7 at 2 s
    Then the guard answered "forgotten, duplicate_key"
    And the guard keeps at most 1000 keys and 1000 answer bytes
