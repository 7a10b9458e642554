Feature: Group commit of log records

  Scenario: The outcome reported for each record is correct under any fault of the log
    When the group commit machine runs 300 examples of 60 steps
    Then the group commit machine found no fault

  Scenario: If a delayed append takes effect before its retry, its position is returned
    When the group commit machine delays an append until just before its retry
    Then the group commit machine found no fault

  Scenario: Records submitted while an append is in flight share the next append
    Given a group commit on a log stand-in
    When 100 records are appended together
    Then the group commit returns the position of each record, in 2 appends

  Scenario: An append whose response was lost is found by its nonce
    Given a group commit on a log stand-in
    And the log stand-in has the fault {"lose_next_answers": 2}
    When 3 records are appended together
    Then the group commit returns the position of each record, in 2 appends

  Scenario: While the log is unavailable, a record is rejected immediately
    Given a group commit on a log stand-in
    And the log stand-in has the fault {"outage": true}
    When 1 records are appended together
    And one more record is appended
    Then the group commit rejects it without calling the log, with a retry time
