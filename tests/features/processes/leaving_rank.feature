Feature: A rank's agent drains without interrupting streams, as a separate process

  Scenario: A drained agent of a group's rank interrupts no stream
    Given 12 callers that stream answers in a system with a lock-step group
    When answers are in flight and agent-1 is drained
    Then all answers arrive complete and match the model's output
    And the entries made no further attempts and never reattached
    And the process agent-1 exits with code 0
