Feature: A balancer finds a lock-step group again after a rank was replaced

  # Guards against a group that is never balanced again: the first report of the new rank
  # is already of the new epoch, and the last reports of the others are of the old one.
  Scenario Outline: A rank is replaced and the group opens in a new epoch
    Given a balancer that has found a group of 4 ranks
    When rank 2 is replaced, and its first report is of the <epoch> epoch
    And all ranks report the new epoch
    And the balancer runs for 3 s
    Then it has found the group with the new rank
    And it asks no rank that it knows for its group any more

    Examples:
      | epoch |
      | old   |
      | new   |
