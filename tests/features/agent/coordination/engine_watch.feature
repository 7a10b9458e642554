Feature: An agent detects that its engine is down

  # Guards against entries that send requests to an engine that is down, or wait at ranks
  # that it blocks, since its agent never reports it.
  Scenario: A failed call shows that the engine is down
    Given an agent whose engine is down
    Then the engine counts as up
    When a call fails
    Then the engine counts as down
    When the engine is back and 1 s passes
    Then the engine counts as up

  Scenario: A failed call at a live engine
    Given an agent whose engine is up
    When a call fails
    Then the engine counts as up

  Scenario: One check at a time
    Given an agent whose engine is down
    When 5 calls fail and 2 s pass
    Then the engine was checked 5 times
