Feature: Draining a process without aborting requests

  Scenario: No request is aborted and no valid entry list names a closed port
    Then drain holds its invariants in 400 runs of 60 steps

  Scenario: A drain ends when idle, at its deadline or on a second signal
    Given drain begun at 0 s with a linger time of 20 s and a deadline of 600 s
    Then drain at 19.9 s with 0 open requests continues
    And drain at 20 s with 1 open requests continues
    And drain at 20 s with 0 open requests stops as drained, aborting 0
    And drain at 600 s with 2 open requests stops as the drain deadline, aborting 2
    And drain on a second signal with 3 open requests aborts 3
