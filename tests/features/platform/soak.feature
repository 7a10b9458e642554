Feature: A short soak test of real processes under injected faults

  Scenario Outline: Guarantees hold while entries, connections to runners and the store fail
    Then the soak with seed <seed> violates no guarantee in 6 s of faults

    Examples: Seeds
      | seed |
      | 1    |
      | 2    |
