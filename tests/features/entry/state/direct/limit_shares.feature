Feature: Entries share the limit that a runner states, without a coordinator

  # Guards against entries that together exceed the limit, or leave it unused.
  Scenario Outline: <entries> entries, <limit> requests a second, demand at <where>
    When <entries> entries share a limit of <limit> requests a second with demand at <where>, for seeds 1 to <seeds>
    Then in each second the runner gets at most its limit and one request an entry
    And in each 4 s the runner gets at most 1.5 times its limit and 5 requests
    And the runner gets nine tenths of its limit

    Examples:
      | entries | limit | where       | seeds |
      | 3       | 1     | all entries | 8     |
      | 3       | 1.2   | one entry   | 8     |
      | 3       | 20    | all entries | 8     |
      | 7       | 1     | all entries | 8     |
      | 7       | 1     | one entry   | 8     |
      | 7       | 1     | two entries | 8     |
      | 7       | 6     | all entries | 8     |
      | 41      | 1     | all entries | 2     |
      | 41      | 1     | one entry   | 2     |
      | 41      | 5     | all entries | 2     |
      | 41      | 30    | all entries | 2     |
      | 41      | 5     | two entries | 2     |

  # Guards against all entries that use tokens saved in a quiet time at the same moment.
  Scenario Outline: <entries> entries get a surge of requests after a quiet time
    When <entries> entries share a limit of <limit> requests a second with demand at all at times, for seeds 1 to <seeds>
    Then in each 4 s the runner gets at most 1.5 times its limit and 5 requests

    Examples:
      | entries | limit | seeds |
      | 3       | 1     | 8     |
      | 7       | 1     | 8     |
      | 7       | 4     | 8     |
      | 41      | 1     | 2     |
      | 41      | 4     | 2     |

  # Guards against entries that exceed the limit while their view of each other is wrong.
  Scenario Outline: <entries> entries start, freeze, restart and are cut off, <limit> requests a second
    When <entries> entries share a limit of <limit> requests a second while they fail, for seeds 1 to <seeds>
    Then in each 4 s the runner gets at most 1.5 times its limit and 5 requests

    Examples:
      | entries | limit | seeds |
      | 3       | 1     | 8     |
      | 3       | 4     | 8     |
      | 7       | 1     | 8     |
      | 7       | 4     | 8     |
      | 41      | 1     | 2     |
      | 41      | 6     | 2     |

  # Guards against a limit that is never found to have ended, and the reverse.
  Scenario: The newest evidence decides whether a limit holds
    Given a limit of 2 that was stated at 10 s
    Then an answer without a limit to a request sent at 9.9 s does not end it
    And a peer's older evidence without a limit does not end it
    And an answer without a limit to a request sent at 10.1 s ends it
    And a peer's older evidence with a limit does not renew it

  # Guards against a runner that nobody asks any more, so that nobody learns of the end.
  Scenario: A limit of zero is tried now and then
    When 3 entries share a limit of 0 requests a second with demand at all entries, for seeds 1 to 5
    Then in each 4 s the runner gets at most 1.5 times its limit and 5 requests
    And the runner gets a request every 10 s

  # Guards against limits of runners that have ended, which would fill the memory.
  Scenario: Limits are bounded
    When peers report limits of 2000 runners that do not exist
    Then at most 512 are kept, an update has at most 32, and none is left after housekeeping
