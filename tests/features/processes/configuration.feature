@demo_system
Feature: Operators change the configuration through any entry

  Scenario: A document published at one entry becomes active everywhere and is audited
    When an operator publishes a changed document at the first entry
    Then the publish command prints the active version
    And every entry shows that version and its author
    And the history and the audit trail contain the change and its author

  Scenario: Publishing based on an outdated version fails and reports the conflicting change
    When two operators publish changes based on the same version at two entries
    Then the second fails with the change and the author of the first

  Scenario: Validating an invalid document reports all errors
    When an operator validates a document with two errors
    Then the command reports both errors and exits with 1

  Scenario: The diff command shows a document's changes before it is published
    When an operator compares a changed document with the active one
    Then the command prints the change

  Scenario: The audit trail is filtered by kind
    When an operator lists the audit records of drained entries
    Then no configuration change is shown

  Scenario: An entry that starts during a log outage gets the configuration from peers
    When the log becomes unavailable and an entry is killed and restarted
    Then the restarted entry gets the version that the others have
