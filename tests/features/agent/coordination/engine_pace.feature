Feature: An agent respects the limits of its endpoint

  # Guards against an endpoint that gets more requests than it or its operator allows.
  Scenario Outline: Attempts of several entries under a limit of <limit> set by <source>
    Given an agent whose <source> limits it to <limit> requests a second
    When 2 entries submit 10 attempts a second each for 10 s
    Then in any 4 s at most 1.5 times the limit and 5 attempts start
    And nine tenths of the limit are used
    And each refused attempt is told when it can start, and has not run

    Examples:
      | source   | limit |
      | operator | 2     |
      | engine   | 2     |
      | engine   | 0.5   |

  Scenario: The lower one of two limits holds, and the engine's ends with its answers
    Given an agent whose operator limits it to 5 requests a second
    When an answer states a limit of 2 requests a second
    Then the agent's limit is 2
    When an answer to an earlier attempt states no limit
    Then the agent's limit is 2
    When an answer to a later attempt states no limit
    Then the agent's limit is 5

  Scenario Outline: A limit that cannot be read: <text>
    Then the text <text> is no limit of an engine

    Examples:
      | text                              |
      | fast                              |
      | -1                                |
      | nan                               |
      | inf                               |
      | 1.0000000000000000000000000000001 |

  Scenario: An engine that asks for rest gets no attempt until it is over, then one
    Given an agent whose operator limits it to 100 requests a second
    When an answer asks for 3 s of rest at 10 s and another one for 1 s at 10.1 s
    Then the next attempt may start at 13 s
    When it starts at 13 s
    Then the next attempt may start at 15 s
    When the engine accepts it at 13.2 s
    Then the next attempt may start at 13.2 s
