Feature: The ledger of lost attempts holds requests that end their runners

  Scenario Outline: When a request is held
    Given lost attempts of request P: <lost>
    Then request P <result>

    Examples:
      | lost                                                    | result         |
      | a round 1 ended                                         | may run        |
      | a round 1 ended, b round 1 ended, c round 1 ended       | may run        |
      | a round 1 ended, b round 2 unconfirmed                  | is held        |
      | a round 1 unconfirmed, b round 2 unconfirmed            | is held        |
      | a round 1 ended, b round 2 ended                        | is quarantined |
      | a round 1 ended, b round 2 alive                        | may run        |
      | a round 1 ended, a round 2 ended                        | may run        |
      | a round 1 ended, b round 2 alive, b round 2 ended       | is quarantined |
      | a round 1 ended, b round 2 ended, b round 2 alive       | is quarantined |
      | a round 1 ended, b round 2 ended, b round 2 cleared     | may run        |
      | a round 1 cleared, b round 1 ended, c round 2 ended     | is quarantined |

  # Guards against a quarantine of a request that only ran beside the one to blame.
  Scenario: Two requests were lost with the same two runners
    Given lost attempts of request P: a round 1 ended, b round 2 ended
    And lost attempts of request Q: a round 1 ended, b round 2 ended
    Then request P may run
    And request Q may run
    When request Q is completed
    Then request P is quarantined
    And request Q may run

  Scenario: The third round decides if two requests were lost with the same two runners
    Given lost attempts of request P: a round 1 ended, b round 2 ended, c round 3 ended
    And lost attempts of request Q: a round 1 ended, b round 2 ended
    Then request P is quarantined
    And request Q may run

  Scenario: A request that is completed starts anew
    Given lost attempts of request P: a round 1 ended
    When request P is completed
    And request P has further lost attempts: b round 1 ended
    Then request P may run

  Scenario: A quarantine ends
    Given lost attempts of request P: a round 1 ended, b round 2 ended
    When 3601 s pass
    Then request P may run

  Scenario: A quarantine that another entry has decided is not undone by a late record
    Given request P is quarantined by another entry for 60 s
    When request P has further lost attempts: c round 1 ended
    Then request P is quarantined
    When 61 s pass
    Then request P may run

  Scenario: Entries agree, whatever order and repetition their records arrive in
    Then 300 random sets of lost attempts, in any order, give the same holds everywhere

  Scenario: The number of records is bounded
    When 5000 requests lose an attempt
    Then the ledger knows at most 4096 requests, and the newest is among them

  Scenario: Updates carry all recent records in turn
    When 20 requests lose an attempt
    Then 3 updates of at most 8 records name all of them
    When 11 s pass
    Then an update names none of them
