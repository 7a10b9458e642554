Feature: An agent drains without interrupting streams, as a separate process

  Scenario: A drained agent interrupts no stream and exits cleanly
    Given 12 callers that stream answers through both entries
    When answers are in flight and agent-1 is drained
    Then the entries send agent-1 no new requests
    And all answers arrive complete and match the model's output
    And the entries made no further attempts and never reattached
    And the process agent-1 exits with code 0
    And each entry reports 3 usable agents
