Feature: Membership from direct heartbeats

  Scenario: A leaving member gets no new work under network faults and stale lists
    Then membership holds its invariants in 600 runs of 40 steps

  Scenario Outline: Heartbeats stay within the byte budget
    Then membership heartbeats <peers> peers every <period> s

    Examples:
      | peers | period |
      | 12    | 1.0    |
      | 37    | 1.0    |
      | 600   | 16.113 |

  Scenario: A stream of an older incarnation is rejected
    Given membership knows runner-0 as incarnation 3
    Then membership rejects a stream of incarnation 2
    And membership accepts a stream of incarnation 4

  Scenario: A new incarnation of a leaving member is no longer leaving
    Given membership knows runner-0 as incarnation 3
    When membership is notified that incarnation 3 is leaving
    Then membership reports runner-0 as leaving
    When membership accepts a stream of incarnation 4
    Then membership reports runner-0 as suspect
