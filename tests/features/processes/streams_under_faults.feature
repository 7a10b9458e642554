Feature: Streamed answers, while processes and connections fail

  Background:
    Given a system of processes that can fail

  Scenario: An agent is killed while answers stream
    When 6 answers stream and agent-0 is killed
    Then each caller has its own whole answer

  Scenario: Open connections go silent while answers stream
    When 6 answers stream and the connections to agent-0 fall silent
    Then each caller has its own whole answer

  Scenario: An entry and an agent are drained under load
    When 6 answers stream and entry-0 and agent-0 are told to stop
    Then each caller has its own whole answer
    And the drained processes end with status 0
