Feature: Shares of a group

  Scenario: Over random arrivals shares keep their bounds and their entitlement
    Then the shares machine finds no fault in 300 histories of 25 steps

  Scenario: A workspace that returns is served before those that borrowed
    Given shares of 100 slots for 4 workspaces with a quarter each
    And workspaces 0 to 2 wait with 200 requests each and fill the shares' slots
    When workspace 3 asks for 30 starts while 30 slots become free
    Then the shares start at least 25 requests of workspace 3 among those 30

  Scenario: A refused caller that comes back when told is taken
    Given shares of 10 slots for 1 workspaces with a quarter each
    When 40 callers ask the shares at once with 2 s to start
    Then the shares refuse some at once and tell each when to come back
    And the shares take them when they come back and slots are freed as measured
