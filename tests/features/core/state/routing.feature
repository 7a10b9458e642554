Feature: Routing by prefix affinity against load

  Scenario Outline: The router is close to the best baseline in cache hits and latency
    When routing is measured at 12 runners with <rate> requests a second and reports <lag> s late
    Then routing has at least 0.9 of the best baseline's cache hits
    And routing has at most 1.1 of the best baseline's times to first token

    Examples:
      | rate | lag |
      | 4.0  | 0.1 |
      | 4.0  | 1.0 |
      | 4.0  | 5.0 |
      | 6.0  | 0.1 |
      | 6.0  | 5.0 |

  Scenario Outline: A runner that becomes slow gets few requests after 3 s
    When routing is measured with a runner that becomes 10 times slower and reports <lag> s late
    Then routing gives the slow runner less than a quarter of its share 3 s later

    Examples:
      | lag |
      | 1.0 |
      | 5.0 |

  Scenario: A runner with failed attempts is avoided, then picked again later
    Given routing over 3 idle runners
    When routing records 3 failures of the home runner
    Then routing picks another runner
    And routing picks the home runner again 60 s later

  Scenario: An entry's dispatches count as load before a report includes them
    Given routing over 3 idle runners
    When routing dispatches 50 requests of one prefix at once
    Then routing has used more than one runner

  Scenario: At scale an entry connects to a subset of the runners
    Then routing subsets of 330 entries over 600 runners cover each runner
    And routing subsets hold at most 32 runners, half of them of the entry's zone
    And routing subsets change by at most 1 runner when a runner is removed

  Scenario: The router no longer tracks removed runners
    Given routing over 3 idle runners
    When routing retains only runner-1
    Then routing tracks 1 runner
