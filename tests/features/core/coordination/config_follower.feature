Feature: Following and publishing configuration

  Scenario: A published document becomes active at every follower
    Given 3 configuration followers of one log
    When follower 1 publishes a document based on version 0
    Then the publication ends as version 1
    And all followers have version 1
    And each follower activated version 1 once

  Scenario: After a lost append response the outcome is read back from the log
    Given 2 configuration followers of one log
    And the response to the next append is lost
    When follower 1 publishes a document based on version 0
    Then the publication ends as version 1

  Scenario: Of two concurrent publications one fails and names the other's version and author
    Given 2 configuration followers of one log
    When both followers publish a document based on version 0 concurrently
    Then one publication is active and the other fails, naming version 1 and its author

  Scenario: Publishing during an outage of the log fails immediately and has no effect
    Given 2 configuration followers of one log
    And the log becomes unavailable after follower 1 has read all records
    When follower 1 publishes a document based on version 0
    Then the publication ends with an unavailable error

  Scenario: An invalid document is rejected
    Given 2 configuration followers of one log
    When follower 1 publishes an invalid document
    Then the publication ends with an invalid_settings error

  Scenario: A follower that starts after the first record expired reads a refresh record
    Given 2 configuration followers of one log
    When follower 1 publishes a document based on version 0
    And 3 retention periods pass
    And another follower starts
    Then all followers have version 1

  Scenario: A follower that starts during an outage adopts the version of a peer
    Given 2 configuration followers of one log
    When follower 1 publishes a document based on version 0
    And the log becomes unavailable and another follower starts
    And that follower receives the version of follower 1
    Then all followers have version 1
