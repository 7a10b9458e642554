Feature: Answers arrive complete while an agent or its connections are silent

  Scenario: Each caller gets its own complete answer when an agent is paused
    Given 12 callers that stream answers through both entries
    When answers are in flight and agent-1 is paused
    Then all answers arrive complete and match the model's output
    And the entries made further attempts or reattached to streams

  Scenario: Open connections go silent permanently while new ones work
    Given 12 callers that stream answers with a proxy in front of agent-1
    When answers are in flight and the proxy's open connections go silent
    Then all answers arrive complete and match the model's output
    And the entries reattached to streams and made no further attempts
