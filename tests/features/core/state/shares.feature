Feature: Shares of a group

  Scenario: With random arrivals workspaces stay within their limits and get their shares
    Then the shares state machine passes 300 examples of 25 steps

  Scenario: A workspace that becomes active again regains the slots that it had lent
    Given shares of 100 slots for 4 workspaces with a quarter each
    And workspaces 0 to 2 wait with 200 requests each and fill the shares' slots
    When workspace 3 submits 30 requests while 30 slots become free
    Then the shares start at least 25 requests of workspace 3 among those 30

  Scenario: A refused caller that retries at the given time is admitted
    Given shares of 10 slots for 1 workspaces with a quarter each
    When 40 callers submit to the shares at once with 2 s to start
    Then the shares refuse some immediately and give each a time to retry
    And the shares admit them when they retry and slots are freed at the known rate
