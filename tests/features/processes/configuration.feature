@demo_system
Feature: Operators change the configuration through any entry

  Scenario: A document published at one entry is in force at all, and audited
    When an operator publishes a changed document at the first entry
    Then the publication says which version is in force
    And every entry shows that version and its author
    And the history and the audit trail name the change and its author

  Scenario: A document based on an older version is refused with what came between
    When two operators publish changes of the same version at two entries
    Then the second is refused and told of the first one's change and author

  Scenario: A faulty document is refused with every fault
    When an operator validates a document with two faults
    Then both faults are named and the command exits with 1

  Scenario: A difference is shown before publishing
    When an operator asks what a changed document would change
    Then the change is named

  Scenario: The audit trail is filtered by kind
    When an operator asks for the audit trail of drained entries
    Then no configuration change is shown

  Scenario: An entry that starts while the log is out takes the newest its peers hold
    When the log goes out and an entry is killed and started again
    Then the started entry comes to hold the version that all others hold
