Feature: The whole answer of a repeatable request

  Scenario: Each caller gets its own whole answer or a typed error, never a mix
    Then attempts survive 500 runs of 60 steps

  Scenario: An answer whose end frame does not agree is not passed off as whole
    When attempts get a chunk and an end frame with another digest
    Then attempts fail with endpoint_failed and nothing is finished

  Scenario: Refused attempts go to another runner at once, then get Retry-After
    When attempts are refused by every runner
    Then attempts fail with overloaded, Retry-After 3 s and not run

  Scenario: Without a budget left a failed attempt is not retried
    When attempts fail with an empty retry budget
    Then attempts fail with endpoint_failed and nothing is finished

  Scenario: A request past its deadline is told at once when to come back
    When attempts pass their deadline
    Then attempts fail with deadline_exceeded and Retry-After 1 s

  Scenario: A stalled attempt goes on elsewhere only if another runner and budget are left
    Then attempts at a stalled runner go on elsewhere at their token
    And attempts at a stalled runner stay there without another runner or budget

  Scenario: An end frame that comes before a lost chunk has the chunk sent again
    When attempts get an end frame of 2 chunks after only the first
    Then attempts ask once for the frames after sequence 0

  Scenario Outline: Retries do not amplify the load while a third of the runners fails
    When attempts are measured with 4 of 12 runners failing and a <choice> choice
    Then attempts per request stay at most 1.1 in each phase
    And attempts per request are 1.0 to two digits after the runners return

    Examples:
      | choice |
      | routed |
      | blind  |
