Feature: All entries together respect the limit that a runner states

  # Guards against a limit that nobody reads, or that each entry respects by itself.
  Scenario Outline: <limit> requests a second for <entries> entries with demand at <where>
    Given <entries> entries, and a runner that states a limit of <limit> requests a second
    When callers ask at <where> for 10 s
    Then in any second it gets at most its limit and one request an entry
    And it gets nine tenths of its limit
    And all callers are served

    Examples:
      | entries | limit | where       |
      | 3       | 1.2   | all entries |
      | 3       | 2     | one entry   |
      | 7       | 1     | all entries |
      | 7       | 1     | one entry   |
      | 7       | 6     | all entries |

  # Guards against entries that exceed the limit while their view of each other is wrong.
  Scenario Outline: <entries> entries start, freeze, are killed and cut off from each other
    Given <entries> entries, and a runner that states a limit of 1 requests a second
    When callers ask at all entries for 16 s while entries fail in turn
    Then in any 4 s it gets at most 1.5 times its limit and 5 requests

    Examples:
      | entries |
      | 3       |
      | 7       |

  # Guards against a limit that is kept after the runner has stopped stating it.
  Scenario: A limit that ends
    Given 3 entries, and a runner that states a limit of 1 requests a second
    When callers ask at all entries for 4 s
    And the runner states no limit any more
    And callers ask at all entries for 6 s
    Then it gets more than 30 requests in the last 4 s
