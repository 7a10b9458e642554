Feature: Leaving without cutting anything off

  Scenario: No request is cut off and no valid list leads to a closed port
    Then drain survives 400 runs of 60 steps

  Scenario: A second signal is reported with what it cuts off
    Given drain begun at 0 s with a stay of 20 s and a deadline of 600 s
    Then drain at 19.9 s with 0 open requests goes on
    And drain at 20 s with 1 open requests goes on
    And drain at 20 s with 0 open requests stops as drained, cutting 0
    And drain at 600 s with 2 open requests stops as the drain deadline, cutting 2
    And drain on a second signal with 3 open requests cuts 3
