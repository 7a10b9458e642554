Feature: The retries of all entries together stay within the allowance

  # Guards against entries that each take the whole allowance when they lose each other.
  Scenario Outline: Entries lose sight of each other
    Given 6 entries that know each other share an allowance of 88 retries
    When <event>
    Then together they may spend at most 88 retries

    Examples:
      | event                                          |
      | 0 s pass for all entries                                  |
      | each of them is cut off from the others for 30 s |
      | entries 1 to 3 are cut off from 4 to 6 for 120 s |

  Scenario: An allowance is divided anew after entries have left for good
    Given 6 entries that know each other share an allowance of 88 retries
    When all but entry 1 are gone for 700 s
    Then entry 1 may spend 44 retries
