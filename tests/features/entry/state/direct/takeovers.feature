Feature: Takeovers of silent attempts start in time and do not crowd full runners

  Scenario Outline: When an attempt counts as silent
    Given a <kind> attempt sent at 0.0 s with an objective of 0.5 s, <started>
    When its service makes progress at <progress_s> s
    Then at <now_s> s it is <verdict>

    Examples:
      | kind       | started     | progress_s | now_s | verdict         |
      | stream     | started     | 0.7        | 0.75  | not silent      |
      | stream     | started     | 0.8        | 0.85  | silent          |
      | stream     | not started | 0.8        | 0.85  | not silent      |
      | stream     | not started | 1.2        | 1.25  | silent          |
      | stream     | started     | 0.8        | 1.5   | not silent      |
      | idempotent | not started | 0.0        | 0.25  | not silent      |
      | idempotent | not started | 0.0        | 0.35  | silent          |

  # Guards against a burst of takeovers that all queue at the same full runner.
  Scenario: Streams that fall silent together while all runners are full
    Given 4 full runners of 6 slots, each with 5 streams that fall silent together
    When takeovers are sent wherever they may have a place
    Then each runner has got 1 takeover

  Scenario Outline: A runner has rejected a takeover
    Given a runner of 6 slots that rejected a takeover at 1.0 s while 6 requests ran
    Then with <running> requests at <now_s> s it <verdict> another takeover

    Examples:
      | running | now_s | verdict   |
      | 6       | 1.1   | gets no   |
      | 6       | 1.39  | gets no   |
      | 6       | 1.41  | may get   |
      | 5       | 1.05  | may get   |
      | 7       | 2.0   | gets no   |

  Scenario: A runner that has started again has rejected nothing
    Given a runner of 6 slots that rejected a takeover at 1.0 s while 6 requests ran
    When the runner starts again
    Then with 6 requests at 1.1 s it may get another takeover
