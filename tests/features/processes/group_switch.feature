Feature: Groups of real processes switch their expert map

  Background:
    Given a group of three ranks whose engines step on a first map

  Scenario: Demand that shifts makes the group switch
    When the group's demand shifts 3 times
    Then the group used one map in every step
    And the audit trail names each switch of the group

  Scenario: No switch starts while the log is out
    When the log is out and the group's demand shifts
    Then the group steps on its old map
    And the group switches once the log is back
