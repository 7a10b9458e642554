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

  # Guards against maps for the topics of a handful of streams: of 192 ranks in 3 groups
  # with 3 streams each, 3 ranks were read, so that 9 of 350 streams made the map.
  Scenario Outline: The popularity of experts is read from a share of the ranks
    Given a balancer that has found a group of <ranks> ranks
    When it is elected, with streams on all ranks, for 3 s
    Then it has read the counts of <read> ranks

    Examples:
      | ranks | read |
      | 4     | 2    |
      | 12    | 2    |
      | 64    | 4    |
      | 256   | 16   |
