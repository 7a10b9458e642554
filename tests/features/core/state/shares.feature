Feature: Shares of a group

  Scenario: Over random arrivals workspaces stay within bounds and get their entitlement
    Then the shares machine finds no fault in 300 histories of 25 steps

  Scenario: A workspace that becomes active again is served before those that borrowed
    Given shares of 100 slots for 4 workspaces with a quarter each
    And workspaces 0 to 2 wait with 200 requests each and fill the shares' slots
    When workspace 3 submits 30 requests while 30 slots become free
    Then the shares start at least 25 requests of workspace 3 among those 30

  Scenario: A refused caller that retries at the given time is admitted
    Given shares of 10 slots for 1 workspaces with a quarter each
    When 40 callers submit to the shares at once with 2 s to start
    Then the shares refuse some at once and give each a time to retry
    And the shares admit them when they retry and slots are freed as measured
