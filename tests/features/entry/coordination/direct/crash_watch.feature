Feature: An entry judges the runners of the attempts that it has lost

  Scenario Outline: A probe decides
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe finds <result>
    Then the verdict on it is <verdict>

    Examples:
      | result     | verdict     |
      | itself     | alive       |
      | replaced   | ended       |
      | refused    | ended       |
      | unanswered | unconfirmed |

  # Guards against losses that stay unconfirmed since their runner was judged before.
  Scenario: Each loss at a live runner is judged
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe finds itself
    And an attempt of request Q at runner A is lost and a probe finds itself
    Then the verdict on it is alive

  Scenario: A silent runner is probed again
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe finds unanswered
    And 1 s later a probe finds itself
    Then the verdict on it is alive

  # Guards against losses that count for an hour since no probe was answered.
  Scenario: A silent runner that stays registered lives
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe finds unanswered
    And 11 s later a probe finds unanswered
    Then the verdict on it is alive

  # Guards against a verdict by a list that cannot be read at present.
  Scenario: A silent runner is not judged by an outdated list
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe finds unanswered
    And the runner list cannot be read
    And 11 s later a probe finds unanswered
    Then no verdict on it is known
    When the runner list can be read again
    Then the verdict on it is alive

  Scenario Outline: The runner list shows that a runner has ended
    Given an entry that knows runner A
    When an attempt of request P at runner A is lost and a probe finds itself
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
