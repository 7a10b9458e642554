Feature: One expert map a step

  Scenario: No interleaving of faults makes a step run on two maps
    When the map switch machine runs 120 examples of 25 steps
    Then the map switch machine found no step with two maps and no stuck group
