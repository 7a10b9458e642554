Feature: A group of real processes switches its expert map

  Background:
    Given a group of three ranks whose engines step with an initial map

  Scenario: The group switches its map when demand shifts
    When the group's demand shifts 3 times
    Then all ranks used the same map in every step
    And the audit trail records each map switch of the group

  Scenario: No switch starts during an outage of the log service
    When the log service is unavailable and the group's demand shifts
    Then the group keeps stepping with its old map
    And the group switches its map after the log service recovers
