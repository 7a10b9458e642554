Feature: An entry with agents stops while engines work for longer than its drain deadline

  # Guards against requests that are taken late in a drain, passed on, and cut off without
  # an answer at its deadline.
  Scenario: Requests that are open at the deadline are answered, later ones refused
    Given entries with a drain deadline of 6 s, and engines that need longer
    When entry-1 is stopped while a caller waits, and another caller asks 4 s later
    Then the other caller is told that its request has not run
    And the first caller is told that its request may have run
