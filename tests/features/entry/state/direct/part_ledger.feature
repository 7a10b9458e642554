Feature: The ledger of suspected parts holds requests that would crash a runner

  Scenario Outline: Which requests wait after crashes
    Given requests with these parts were answered: <answered>
    And runners ended under requests with these parts: <lost>
    Then a request with parts <request> waits <wait>

    Examples: one crash
      | answered | lost       | request | wait |
      | -        | a: D       | D       | 30 s |
      | -        | a: X D     | X D     | 30 s |
      | -        | a: X D     | X       | 4 s  |
      | -        | a: X D     | Y D     | 4 s  |
      | X        | a: X D     | D       | 30 s |
      | X        | a: X D     | X       | 0 s  |
      | X        | a: X       | X       | 0 s  |
      | -        | a: D, a: E | D       | 4 s  |
      | -        | a: D       | X       | 0 s  |

    Examples: several crashes
      | answered | lost                   | request | wait  |
      | -        | a: X D, b: Y D         | D       | 120 s |
      | -        | a: X D, b: Y D         | X       | 0 s   |
      | X        | a: X D, b: X D         | X       | 0 s   |
      | X        | a: X, b: X             | X       | 120 s |
      | -        | a: D, b: E             | E       | 30 s  |
      | -        | a: D, b: D, c: D       | D       | 480 s |
      | -        | a: D by P, b: D by P   | D       | 30 s  |
      | X        | a: X by P, b: X by P   | X       | 0 s   |

    Examples: verdicts
      | answered | lost                  | request | wait |
      | -        | a: D unconfirmed      | D       | 30 s |
      | -        | a: D alive            | D       | 0 s  |
      | -        | a: X D alive, b: X E  | D       | 0 s  |

  # Guards against a suspicion that only an operator could end.
  Scenario: A sound part is cleared by a trial
    Given runners ended under requests with these parts: a: X D
    When the entries run for 4 s
    Then a request with parts X may run at every entry
    When a trial with parts X starts at entry 2
    Then a request with parts X waits 2 s at every entry
    When a request with parts X is answered at entry 2
    Then a request with parts X may run at every entry
    And a request with parts D waits 26 s at every entry

  Scenario: A trial that crashes its runner leaves its neighbours free
    Given runners ended under requests with these parts: a: X D
    When the entries run for 4 s
    And a trial with parts Y D starts at entry 3
    And runners ended under requests with these parts: b: Y D
    Then a request with parts X may run at every entry
    And a request with parts Y may run at every entry
    And a request with parts D waits 120 s at every entry

  # Guards against trials of two suspects of one crash at the same time: if a runner ends
  # again, both stay suspects.
  Scenario: One suspect of a crash is tried at a time
    Given runners ended under requests with these parts: a: X D
    When the entries run for 4 s
    And a trial with parts X starts at entry 2
    Then a request with parts Y D waits 2 s at every entry

  Scenario: Each entry adds a delay of its own
    Given an entry that delays trials by 0.5 s
    When a runner ends there under a request with part D
    Then a request with part D waits 30.5 s there

  Scenario: A trial without an outcome is followed by another
    Given runners ended under requests with these parts: a: D
    When the entries run for 30 s
    And a trial with parts D starts at entry 1
    And the entries run for 2 s
    Then a request with parts D may run at every entry

  # Guards against trials that crash a runner again and again.
  Scenario: Trials become rare
    Given runners ended under requests with these parts: a: D
    Then 5 runners end in an hour if each trial crashes one

  # Guards against a popular part that is held since it was in two requests that crashed.
  Scenario: An answer between two crashes clears a part
    Given requests with these parts were answered: X
    And runners ended under requests with these parts: a: X
    When a request with parts X is answered at entry 2
    And runners ended under requests with these parts: b: X
    Then a request with parts X may run at every entry

  Scenario: Another entry has seen the part answered
    Given a request with parts X is answered at entry 3
    And runners ended under requests with these parts: a: X D
    Then a request with parts X may run at every entry
    And a request with parts D waits 30 s at every entry

  Scenario: Entries agree, whatever order and repetition their records arrive in
    Then 300 random sets of losses, in any order, give the same waits everywhere

  Scenario: The number of records is bounded
    When runners end under 3000 requests, each with a part of its own
    Then the ledger holds at most 512 parts, and the newest is among them
    And updates have at most 8 records

  Scenario: A culprit that another entry has stored is held until its time is over
    Given the log names part D as held for 20 s
    Then a request with parts D waits 20 s at every entry
    When the entries run for 21 s
    Then a request with parts D may run at every entry
