Feature: Runners that stop sending chunks are detected

  Scenario: A runner that sends no chunk for 5 s while it answers is stalled
    Given runner A has sent a chunk at 0 s and answers
    Then no runner is stalled at 4.9 s
    And runner A is stalled at 5 s

  # Guards against requests that stay at a stalled runner forever, since all others there
  # have been moved and they have not received a chunk.
  Scenario: A stalled runner stays so while requests without a chunk remain at it
    Given runner A has sent a chunk at 0 s and answers
    And runner A is stalled at 5 s
    When all requests that have received a chunk have left runner A
    Then runner A is stalled at 6 s
    When runner A sends a chunk at 7 s
    Then no runner is stalled at 8 s

  Scenario: A runner whose answers have ended is not stalled while it reads prompts
    Given runner A has sent a chunk at 0 s and answers
    When all requests that have received a chunk have left runner A
    Then no runner is stalled at 4 s
    And no runner is stalled at 9 s

  Scenario: A stalled runner without requests is forgotten
    Given runner A has sent a chunk at 0 s and answers
    And runner A is stalled at 5 s
    When all requests have left runner A
    Then no runner is stalled at 6 s
    When a request without a chunk runs at runner A
    Then no runner is stalled at 7 s

  # Guards against requests that wait for good at a rank that had sent this entry nothing
  # before another rank of its group went down.
  Scenario: A rank that is blocked before its first chunk is stalled
    Given a request without a chunk runs at runner A
    Then no runner is stalled at 9 s
    When another rank of the group of runner A is down
    Then no runner is stalled at 10 s
    And no runner is stalled at 14.9 s
    And runner A is stalled at 15 s

  Scenario: A rank that is blocked for a short time only is not stalled
    Given a request without a chunk runs at runner A
    When another rank of the group of runner A is down
    Then no runner is stalled at 10 s
    When the rank is back
    Then no runner is stalled at 14 s
    And no runner is stalled at 20 s
