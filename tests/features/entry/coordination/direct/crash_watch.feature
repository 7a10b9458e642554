Feature: An entry judges the runners of the attempts that it has lost

  Scenario Outline: A probe decides
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe is <reaction>
    Then the verdict on it is <verdict>

    Examples:
      | reaction | verdict     |
      | accepted | alive       |
      | refused  | ended       |
      | silent   | unconfirmed |

  # Guards against losses that stay unconfirmed since their runner was judged before.
  Scenario: Each loss at a live runner is judged
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe is accepted
    And an attempt of request Q at runner A is lost and a probe is accepted
    Then the verdict on it is alive

  Scenario: A silent runner is probed again
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe is silent
    And 1 s later a probe is accepted
    Then the verdict on it is alive

  Scenario Outline: The runner list shows that a runner has ended
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe is accepted
    And runner A <change>
    Then the verdict on it is ended

    Examples:
      | change            |
      | is not registered |
      | has started again |

  # Guards against verdicts of entries that have not read a new runner's record yet.
  Scenario: Only the entry that lost an attempt judges its runner by the list
    Given an entry that knows runner A
    When another entry reports a lost attempt of request P at runner B
    Then the verdict on it is unconfirmed
