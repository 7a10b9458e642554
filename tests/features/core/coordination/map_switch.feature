Feature: Each step of a group runs on one expert map

  Scenario: No combination of faults starts a step with two maps
    When the map switch state machine runs 120 examples of 25 steps
    Then every step used a single map and the group recovered from all faults
