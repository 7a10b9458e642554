Feature: Whole answers while an agent is silent, run as separate processes

  Scenario: Each streaming caller gets its own whole answer when an agent is frozen
    Given whole answers of 12 callers that stream through both entries
    When whole answers are under way and agent-1 is frozen
    Then whole answers have all arrived, each the model's own
    And whole answers have needed further attempts or lost frames again

  Scenario: An open connection goes silent for good while new ones work
    Given whole answers of 12 callers that stream past a proxy before agent-1
    When whole answers are under way and the proxy's open connections go silent
    Then whole answers have all arrived, each the model's own
    And whole answers have needed lost frames again and no further attempts
