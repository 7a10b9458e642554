Feature: Many records in one append

  Scenario: Whatever the log does, what an appender says of a record is true
    When the group commit machine runs 300 examples of 60 steps
    Then the group commit machine found no fault

  Scenario: A late copy that lands before the one sent again is the one told
    When the group commit machine lets a late copy land before the one sent again
    Then the group commit machine found no fault

  Scenario: Records that come while an append is under way share the next one
    Given a group commit on a log stand-in
    When 100 records are appended at once
    Then the group commit tells each record its own place, in 2 appends

  Scenario: An append whose answer was lost is found again by its nonce
    Given a group commit on a log stand-in
    And the log stand-in has the fault {"lose_next_answers": 2}
    When 3 records are appended at once
    Then the group commit tells each record its own place, in 2 appends

  Scenario: While the log is out a record is refused at once
    Given a group commit on a log stand-in
    And the log stand-in has the fault {"outage": true}
    When 1 records are appended at once
    And one more record is appended
    Then the group commit refuses it before the log is asked, with a retry time
