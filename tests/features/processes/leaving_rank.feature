Feature: Leaving of a rank's agent, run as separate processes

  Scenario: The agent of a group's rank that is told to leave cuts nothing off
    Given whole answers of 12 callers that stream past a lock-step group
    When whole answers are under way and agent-1 is told to leave
    Then whole answers have all arrived, each the model's own
    And whole answers have needed no further attempts
    And whole answers have let agent-1 exit with code 0
