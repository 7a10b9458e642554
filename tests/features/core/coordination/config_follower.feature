Feature: Following and publishing configuration

  Scenario: A published document comes in force at every follower
    Given 3 configuration followers of one log
    When follower 1 publishes a document based on version 0
    Then the publication ends as version 1
    And all followers hold version 1
    And each follower took version 1 once

  Scenario: A lost answer is read back before anything is told
    Given 2 configuration followers of one log
    And the log loses the answer to the next append
    When follower 1 publishes a document based on version 0
    Then the publication ends as version 1

  Scenario: The loser of a race is told what changed and by whom
    Given 2 configuration followers of one log
    When both followers publish a document based on version 0 at once
    Then one publication is in force and the other names version 1 and its author

  Scenario: An outage is told at once, and nothing was changed
    Given 2 configuration followers of one log
    And the log goes out while follower 1 has read all
    When follower 1 publishes a document based on version 0
    Then the publication ends with an unavailable error

  Scenario: A faulty document is refused with all its faults
    Given 2 configuration followers of one log
    When follower 1 publishes a faulty document
    Then the publication ends with an invalid_settings error

  Scenario: A follower that starts after the first record is gone finds the refresh
    Given 2 configuration followers of one log
    When follower 1 publishes a document based on version 0
    And 3 retention times pass
    And a further follower starts
    Then all followers hold version 1

  Scenario: A follower that starts in an outage takes what a peer holds
    Given 2 configuration followers of one log
    When follower 1 publishes a document based on version 0
    And the log goes out and a further follower starts
    And that follower hears of the version that follower 1 holds
    Then all followers hold version 1
