Feature: Expert popularity

  Scenario: Late, missing and reordered reports give the weighted mean
    Then a popularity estimate equals the weighted mean of its reports in any order

  Scenario: A shift of demand resets the estimate
    Given a popularity estimate of 8 experts with 100000 tokens a second each
    When the popularity reports move half of all tokens to expert 3
    Then the popularity estimate is that of the last report

  Scenario: Random variation does not reset the estimate
    Given a popularity estimate of 8 experts with 2 tokens a second each
    When the popularity reports give 16 tokens at random for 60 seconds
    Then the popularity estimate stays within half of 2 tokens a second
