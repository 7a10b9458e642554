Feature: HTTP client of the log service

  Background:
    Given a log client and a log stand-in

  Scenario: Appended entries are read at their offsets
    When the log client appends "a" and "b"
    Then the log client reads "a" at 0 and "b" at 1

  Scenario: A waiting read returns when an entry is appended
    When the log client waits for an entry while "late" is appended
    Then the waiting read returned "late"

  Scenario Outline: The error of a failed append says whether its outcome is unknown
    Given the log stand-in has the fault <fault>
    When the log client tries to append "x"
    Then the append failed with <error>
    And the log stand-in holds <kept> entries

    Examples:
      | fault                    | error           | kept |
      | {"outage": true}         | log_unavailable | 0    |
      | {"appends_per_s": 0}     | log_throttled   | 0    |
      | {"lose_next_answers": 1} | log_answer_lost | 1    |
      | {"delay_s": 3600}        | log_answer_lost | 0    |

  Scenario: An append to an unreachable log service has no effect
    Given the log stand-in is stopped
    When the log client tries to append "x"
    Then the append failed with log_unavailable

  Scenario: A page starts after the entries that retention has removed
    When the log client appends "a" and "b"
    And the log stand-in has the fault {"retention_s": 0}
    Then the log client's page begins at offset 2 and is empty
