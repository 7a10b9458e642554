Feature: Streamed answers arrive complete while processes and connections fail

  Background:
    Given a running system for fault injection

  Scenario: An agent is killed while answers stream
    When 6 answers stream and agent-0 is killed
    Then each caller gets its own complete answer

  Scenario: Open connections go silent while answers stream
    When 6 answers stream and the open connections to agent-0 go silent
    Then each caller gets its own complete answer

  Scenario: An entry and an agent are drained while answers stream
    When 6 answers stream and entry-0 and agent-0 get SIGTERM
    Then each caller gets its own complete answer
    And the drained processes exit with status 0
