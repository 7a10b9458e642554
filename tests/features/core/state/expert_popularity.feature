Feature: Expert popularity

  Scenario: Late, missing and reordered reports give the weighted mean
    Then a popularity estimate equals the weighted mean of its reports in any order

  Scenario: A shift of demand resets the estimate
    Given a popularity estimate of 8 experts with 100000 tokens a second each
    When a popularity report has half of all tokens moved to expert 3
    Then the popularity estimate equals the newest report

  Scenario: Random variation does not reset the estimate
    Given a popularity estimate of 8 experts with 2 tokens a second each
    When the popularity reports spread 16 tokens at random for 60 seconds
    Then the popularity estimate stays within half of 2 tokens a second
