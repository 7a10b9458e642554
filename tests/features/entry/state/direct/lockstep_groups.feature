Feature: Lock-step groups stay balanced, and every pass uses one map

  Scenario Outline: Replicas follow expert popularity
    Given a group of <ranks> ranks with <experts> experts in <sets> sets and <slots> expert slots
    When popularity jumps <jumps> times
    Then plans with <copies> copies per rank leave a skew of at most <skew>
    And each plan keeps every expert and respects the slot and copy limits

    Examples:
      | ranks | experts | sets | slots  | jumps | copies | skew |
      | 12    | 96      | 3    | 11     | 8     | 2      | 1.5  |
      | 12    | 96      | 3    | 11     | 8     | 3      | 1.35 |
      | 24    | 96      | 16   | 5      | 3     | 16     | 1.6  |

  Scenario: A slow rank gets fewer tokens
    Given a group of 12 ranks with 96 experts in 3 sets and 11 expert slots
    When rank 3 takes 3.4 times as long
    Then the plan's skew is at most half of that of a plan without this information

  Scenario: An unchanged popularity needs no further copies
    Given a group of 12 ranks with 96 experts in 3 sets and 11 expert slots
    When two plans are made in turn for the same popularity
    Then the second plan copies nothing

  Scenario: Popularity is sampled over a span that starts after a jump
    Given a balanced map, with streams that cost 1.0 ms
    Then no sample is due while streams cost 1.2 ms
    When streams cost 1.7 ms
    Then a sample is due, and another after 0.3 s
    And the span between them holds the tokens of both ranks

  Scenario: A stale span is discarded
    Given a balanced map, with streams that cost 1.0 ms
    When streams cost 1.7 ms
    And a sample is added, and the next one comes 6 s later
    Then the second sample starts a new span

  Scenario: A false positive suppresses samples for a while
    Given a balanced map, with streams that cost 1.0 ms
    When streams cost 1.7 ms
    And the active map is found to fit
    Then no sample is due while streams cost 1.8 ms

  Scenario: A jump shortly after a map switch is detected
    Given a balanced map, with streams that cost 1.0 ms
    When streams cost that for 3 s, and then another map is active and found balanced
    And streams cost 1.7 ms from then on
    Then a sample is due within 0.8 s

  Scenario: False positives become less frequent
    Given a balanced map, with streams that cost 1.0 ms
    When streams cost that for 3 s, and then 1.7 ms for 20 s, while the map stays balanced
    Then at most 6 spans are sampled

  Scenario: A switch starts at once after a recent survey
    Given a group of 4 ranks whose coordinator surveyed it 0.2 s ago
    When a map is requested
    Then the coordinator sends 4 orders to prepare it and requests no report

  Scenario: A switch waits for a new survey if the last one is stale
    Given a group of 4 ranks whose coordinator surveyed it 0.6 s ago
    When a map is requested
    Then the coordinator requests reports from 4 ranks and sends no order

  Scenario: The samples of several ranks are summed
    Given a popularity reader for 3 ranks of one service
    When a sample is due and is read
    Then each rank is sampled once, and once more after 0.3 s
    And the tokens of all ranks are summed

  Scenario: A rank that becomes unavailable ends the span
    Given a popularity reader for 3 ranks of one service
    When a sample is due and is read
    And a rank becomes unavailable before the span ends
    Then the next sample starts a new span

  Scenario: Two coordinators switch maps while orders are delayed, lost and duplicated
    Then 60 simulated groups never start a pass with two maps, and none stays held

  Scenario: A slow coordinator releases a group while another one rolls it back
    Then no pass starts with two maps if the release arrives while ranks are disarmed

  Scenario Outline: Seeds of earlier failures
    Then the simulated group of seed <seed> never starts a pass with two maps

    Examples: cause of each failure
      | seed | cause                                                    |
      | 62   | a map armed for another pass was disarmed                |
      | 1008 | a rollback treated another coordinator's hold as its own |
      | 1228 | two coordinators held the same pass at the same rank     |

  Scenario Outline: The simulation detects unsafe switches
    Then the simulation detects a pass with two maps if a switch <mistake>

    Examples:
      | mistake                                |
      | releases before all ranks are armed    |
      | disarms without a second hold          |
      | releases before late orders are fenced |
