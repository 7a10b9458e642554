Feature: Faults of the coordinator's agent during a switch

  Background:
    Given a group of three ranks whose engines step on a first map
    And the group's log service answers after 150 ms

  Scenario Outline: A fault during a switch stalls it at most
    When the group's demand shifts 3 times and each time <fault>
    Then the group used one map in every step

    Examples:
      | fault             |
      | agent 0 is killed |
      | agent 0 is paused |
