Feature: A short soak of real processes under faults from outside them

  Scenario Outline: Promises hold while entries, runners' paths and the store fail
    Then the soak of seed <seed> breaks no promise in 6 s of faults

    Examples: seeds of each run
      | seed |
      | 1    |
      | 2    |
