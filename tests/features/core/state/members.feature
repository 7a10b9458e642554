Feature: Membership from direct heartbeats

  Scenario: A leaving member gets no new work, whatever the list and the network do
    Then membership survives 600 runs of 40 steps

  Scenario Outline: Heartbeats stay within the byte budget
    Then membership heartbeats <peers> peers every <period> s

    Examples:
      | peers | period |
      | 12    | 1.0    |
      | 37    | 1.0    |
      | 600   | 16.113 |

  Scenario: A late hello of an older incarnation is turned away
    Given membership knows runner-0 as incarnation 3
    Then membership turns away a stream of incarnation 2
    And membership takes a stream of incarnation 4

  Scenario: A new incarnation of a member that left is used again
    Given membership knows runner-0 as incarnation 3
    When membership hears that incarnation 3 is leaving
    Then membership has runner-0 as leaving
    When membership takes a stream of incarnation 4
    Then membership has runner-0 as suspect
