Feature: Requests that crash engines

  Scenario: At most two engines die of a request, and no innocent one is refused
    Then suspects survive 1000 runs of 80 steps

  Scenario: A repeat is recognised by its values
    Then suspects have one fingerprint for {"a":1,"b":[2]} and { "b": [2], "a": 1 }
    And suspects have two fingerprints for {"a":1} and {"a":2}

  Scenario: An innocent neighbour is cleared by its trial
    Given suspects kit and crash that ran when one engine died
    When suspects kit ends its trial with done
    Then suspects have kit as clear
    And suspects have crash as suspect

  Scenario: A quarantine can be lifted by an operator
    Given suspects kit and crash that ran when one engine died
    When suspects crash ends its trial with died
    Then suspects have crash as quarantined
    When suspects crash is lifted by an operator
    Then suspects have crash as clear

  Scenario: A late report of a settled death does not make a request suspect again
    Given suspects kit and crash that ran when one engine died
    When suspects kit ends its trial with done
    And suspects kit is reported again for the settled death
    Then suspects have kit as clear

  Scenario: An agent holds a suspect back until it is cleared of all that spoke against it
    Given suspects guard that holds kit with number 7
    Then suspects guard refuses kit but for a trial
    When suspects guard is told late that kit was cleared at 5
    Then suspects guard refuses kit but for a trial
    When suspects guard is told late that kit was cleared at 9
    Then suspects guard admits kit
