Feature: Leaving without cutting anything off, run as separate processes

  Scenario: An agent that is told to leave cuts nothing off and exits cleanly
    Given whole answers of 12 callers that stream through both entries
    When whole answers are under way and agent-1 is told to leave
    Then whole answers have sent agent-1 no new work
    And whole answers have all arrived, each the model's own
    And whole answers have needed no further attempts
    And whole answers have let agent-1 exit with code 0
    And whole answers have left 3 usable agents at each entry
