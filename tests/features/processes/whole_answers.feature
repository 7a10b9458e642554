Feature: Streamed answers arrive complete while agents and engines fail

  Scenario Outline: Each caller gets its own complete answer when <what> <fails>
    Given 12 callers that stream answers through both entries
    When answers are in flight and <what> <fails>
    Then all answers arrive complete and match the model's output
    And the entries made further attempts or reattached to streams

    Examples:
      | what     | fails        |
      | agent-1  | is killed    |
      | engine-1 | is killed    |
      | engine-1 | is stalled   |

  Scenario: A rank of a lock-step group fails and blocks all others
    Given 12 callers that stream answers in a system with a lock-step group
    When answers are in flight and engine-1 is killed
    Then all answers arrive complete and match the model's output
    And the entries made further attempts or reattached to streams

  # Guards against requests that stay at a blocked rank when the retry budget is spent.
  Scenario: More requests wait at a blocked rank than the retry budget covers
    Given 40 callers that stream answers in a system with a lock-step group
    When answers are in flight and engine-1 is killed
    Then all answers arrive complete and match the model's output
