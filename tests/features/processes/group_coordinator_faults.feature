Feature: Faults of the coordinator's agent during a map switch

  Background:
    Given a group of three ranks whose engines step with an initial map
    And the group's log service answers after 150 ms

  Scenario Outline: A fault at most delays a switch
    When the group's demand shifts 3 times and each time <fault>
    Then all ranks used the same map in every step

    Examples:
      | fault             |
      | agent 0 is killed |
      | agent 0 is paused |
