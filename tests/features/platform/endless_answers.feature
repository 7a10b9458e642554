@platform_system
Feature: Bytes from a runner that come without end are cut off

  # Guards against an entry that stores what a runner sends until it runs out of memory.
  Scenario Outline: A runner sends <bytes> until its connection is closed
    When a caller asks for <path>, which sends bytes without end
    Then it gets <status>, and the entries have cut the runner off
    And the entries' memory has grown by less than 32 MB
    And the log names the reason: <reason>

    Examples: an order may run only once
      | path                   | bytes                              | status | reason                    |
      | /orders/endless-head   | a head                             | 502    | not valid HTTP            |
      | /orders/endless-noise  | bytes that are no HTTP             | 502    | not valid HTTP            |
      | /orders/endless-interim| interim answers                    | 502    | without an answer         |
      | /orders/endless-other  | an answer to another request       | 502    | without an answer         |
      | /orders/endless-body   | a body without a length            | 502    | body is longer than       |
      | /orders/endless-chunks | a chunked body                     | 502    | body is longer than       |
      | /orders/endless-error  | the body of an error               | 502    | body is longer than       |

    Examples: a stream
      | path                   | bytes                              | status | reason                    |
      | /stream/endless-body   | a stream without events            | 502    | event is longer than      |
      | /stream/endless-head   | a head                             | 502    | not valid HTTP            |

  # Guards against a stream that is not moved to another runner while bytes arrive.
  Scenario: A runner sends a few bytes at a time that never complete an event
    When a caller asks for /stream/dribble-once, beside a stream that makes progress
    Then it gets 200 and all events
    And the request ran 2 times

  Scenario: An answer of a megabyte is whole
    When a caller asks for /orders/large
    Then it gets a body of 1000000 bytes
