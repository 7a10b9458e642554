Feature: Whole answers while processes fail, run as separate processes

  Scenario Outline: Each streaming caller gets its own whole answer when <what> fails
    Given whole answers of 12 callers that stream through both entries
    When whole answers are under way and <what> <fails>
    Then whole answers have all arrived, each the model's own
    And whole answers have needed further attempts or lost frames again

    Examples:
      | what     | fails        |
      | agent-1  | is killed    |
      | engine-1 | is killed    |
      | engine-1 | is stalled   |

  Scenario: A rank of a lock-step group dies and holds all others
    Given whole answers of 12 callers that stream past a lock-step group
    When whole answers are under way and engine-1 is killed
    Then whole answers have all arrived, each the model's own
    And whole answers have needed further attempts or lost frames again
