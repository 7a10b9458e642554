Feature: Requests that crash engines

  Scenario: A request crashes at most two engines, and no innocent request is rejected
    Then the suspects machine passes 800 runs of 80 steps

  Scenario: Bodies with equal JSON values have the same fingerprint
    Then there is one fingerprint for {"a":1,"b":[2]} and { "b": [2], "a": 1 }
    And there are two fingerprints for {"a":1} and {"a":2}

  Scenario: A trial clears an innocent request that ran beside the crashing one
    Given requests kit and crash that were running when one engine died
    When the trial of kit ends with done
    Then the suspect status of kit is clear
    And the suspect status of crash is suspect

  Scenario: An operator can lift a quarantine
    Given requests kit and crash that were running when one engine died
    When the trial of crash ends with died
    Then the suspect status of crash is quarantined
    When an operator lifts the quarantine of crash
    Then the suspect status of crash is clear

  Scenario: A late report of a settled death does not make a request suspect again
    Given requests kit and crash that were running when one engine died
    When the trial of kit ends with done
    And the settled death is reported again for kit
    Then the suspect status of kit is clear

  Scenario: An agent holds a suspect back until it is cleared after the latest hold
    Given a suspect guard that holds kit with number 7
    Then the suspect guard admits kit only for a trial
    When the suspect guard receives a late release of kit, cleared at 5
    Then the suspect guard admits kit only for a trial
    When the suspect guard receives a late release of kit, cleared at 9
    Then the suspect guard admits kit
