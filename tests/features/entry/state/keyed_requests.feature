Feature: Requests that must not be repeated

  Scenario: No key runs twice and nobody is told wrongly, whatever two faults strike
    When the claims machine runs 700 examples of up to 20 steps
    Then the claims machine found no broken promise

  Scenario: A key that grew old while its entry was paused is not claimed
    Given an entry that asked for a ticket for a key made 10 s ago
    When the ticket comes after a pause of 2000 s
    Then the caller is told key_expired, ran unknown, and nothing is claimed

  Scenario: An answer about an earlier claim does not settle a later one
    Given an entry that settles the second claim of a key
    When the agent's answer about the first claim, not started, comes late
    Then the second claim is not released

  Scenario: An undated claim is not dispatched when records were dropped unread
    Given an entry whose claim of an undated key is under way
    When records are dropped unread before the claim is read back
    Then the claim is released and its caller told unavailable, ran no

  Scenario: A ticket that has ended is not used
    Given an entry whose claim of a dated key is under way
    When the claim is read back after the ticket has ended
    Then the claim is released and its caller told unavailable, ran no

  Scenario Outline: A refusal is told as not run only where it is proof
    Given an entry that dispatched the claim of a dated key
    When the agent refuses that claim as <reason>
    Then the caller is told <told>

    Examples:
      | reason            | told               |
      | leaving           | overloaded, ran no |
      | overloaded        | overloaded, ran no |
      | ticket_expired    | overloaded, ran no |
      | stale_incarnation | nothing yet        |
      | duplicate_key     | nothing yet        |
      | fenced            | nothing yet        |
      | tombstoned        | nothing yet        |
