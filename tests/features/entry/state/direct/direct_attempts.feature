Feature: A direct request gets one complete response or a correct refusal

  Scenario Outline: The response follows from the outcome of each attempt
    Given a direct request of kind <kind> with at most <attempts> attempts
    When its attempts end as follows: <outcomes>
    Then the caller receives <response> after <sent> sent attempts

    Examples: requests that are not retryable
      | kind | attempts | outcomes                              | response             | sent    |
      | once | 1        | complete 200                          | 200                  | 1       |
      | once | 1        | disconnected                          | 502                  | 1       |
      | once | 2        | disconnected                          | 502                  | 1       |
      | once | 1        | rejected 503                          | 503 with retry delay | 1       |
      | once | 2        | rejected 503, complete 200            | 200                  | 2       |
      | once | 2        | rejected 421, disconnected            | 502                  | 2       |
      | once | 1        | unreachable, complete 200             | 200                  | 1       |
      | once | 1        | unreachable, unreachable, unreachable | 503 with retry delay | 0       |
      | once | 1        | complete 503                          | 502                  | 1       |
      | once | 1        | complete 500                          | 500                  | 1       |
      | once | 1        | unsigned 200                          | 502                  | 1       |
      | once | 1        | encoded 200                           | 502                  | 1       |
      | once | 1        | timeout                               | 504                  | 1       |
      | once | 2        | rejected 503, timeout                 | 504                  | 2       |

    Examples: retryable requests
      | kind       | attempts | outcomes                   | response | sent    |
      | idempotent | 2        | disconnected, complete 200 | 200      | 2       |
      | idempotent | 2        | disconnected, disconnected | 502      | 2       |
      | idempotent | 2        | complete 500, complete 200 | 200      | 2       |
      | idempotent | 2        | complete 500, complete 500 | 500      | 2       |
      | idempotent | 1        | disconnected               | 502      | 1       |
      | idempotent | 2        | unsigned 200, complete 200 | 200      | 2       |
      | idempotent | 2        | rejected 503, disconnected | 502      | 2       |
      | idempotent | 2        | stalled, complete 200      | 200      | 2       |

    # Guards against a runner's error answer that is discarded for an attempt elsewhere
    # and replaced by a 502 when that attempt fails, too.
    Examples: errors of a runner when the next runner gives no answer
      | kind       | attempts | outcomes                            | response | sent |
      | idempotent | 2        | complete 500, rejected 503          | 500      | 2    |
      | idempotent | 2        | complete 500, disconnected          | 500      | 2    |
      | idempotent | 2        | complete 500, unsigned 200          | 500      | 2    |
      | idempotent | 2        | complete 500, timeout               | 500      | 2    |
      | idempotent | 2        | complete 503, rejected 503          | 502      | 2    |
      | idempotent | 2        | complete 500, complete 404          | 404      | 2    |
      | idempotent | 3        | disconnected, complete 500, timeout | 500      | 3    |
      | stream     | 2        | complete 500, rejected 503          | 500      | 2    |

  Scenario: A stream resumes at another runner after its last complete event
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and disconnects
    Then the request is retried after event 3
    When a runner sends events 4 to 6 and ends the stream
    Then the caller has events 1 to 6, once each, and a complete response

  Scenario: A stream that cannot be resumed is reported as truncated
    Given a direct request of kind stream with at most 1 attempts
    When a runner sends events 1 to 3 and half of event 4, and disconnects
    Then the caller's connection is closed after event 3

  Scenario: A stream that ends inside an event is reported as truncated
    Given a direct request of kind stream with at most 1 attempts
    When a runner sends events 1 to 2 and half of event 3, and ends
    Then the caller's connection is closed after event 2

  Scenario: The attempt is cancelled when the caller disconnects
    Given a direct request of kind stream with at most 2 attempts
    When the caller disconnects after events 1 to 2
    Then the attempt is cancelled and no other action follows

  Scenario: Random faults, checked against the number of executions
    Then 4000 random direct requests run at most once unless retryable, and refusals are correct

  Scenario: Events do not depend on how their bytes are split
    Then 500 event streams, split anywhere, yield the same complete events

  # Guards against events that are dropped when the one after them is too long.
  Scenario: Complete events before one that is too long are delivered
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and 300000 bytes of event 4
    Then the request is retried after event 3
    When a runner sends events 4 to 6 and ends the stream
    Then the caller has events 1 to 6, once each, and a complete response

  # Guards against an error's text in the middle of a stream, and against a stream that
  # ends as if it were complete, when the next runner does not go on with it.
  Scenario Outline: The runner that should go on with a stream answers with an error
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and disconnects
    Then the request is retried after event 3
    When its attempts end as follows: <outcome>
    Then the caller's connection is closed after event 3

    Examples:
      | outcome        |
      | complete 500   |
      | complete 404   |
      | complete 503   |
      | rejected 503   |
      | rejected 421   |
      | unsigned 200   |
      | encoded 200    |
      | disconnected   |

  # Guards against a stream that is cut because it was cancelled at its silent but sound
  # runner before another runner had accepted it.
  Scenario Outline: A takeover fails while its stream's runner is silent
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and is silent
    And its runner sends nothing, and <count> takeovers are <outcome>
    Then the attempt at the silent runner is still in flight
    When the silent runner sends the rest of event 4 to 6 and ends the stream
    Then the caller has events 1 to 6, once each, and a complete response

    Examples:
      | count | outcome      |
      | 1     | rejected 503 |
      | 4     | rejected 503 |
      | 2     | rejected 429 |
      | 1     | rejected 421 |
      | 1     | unreachable  |
      | 1     | disconnected |
      | 1     | unsigned 200 |
      | 1     | complete 500 |
      | 1     | complete 404 |

  # Guards against a stream that ends because its first takeover was rejected.
  Scenario: A takeover is rejected, and the next one is accepted
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and is silent
    And its runner sends nothing, and 2 takeovers are rejected 503
    And its runner sends nothing, and a takeover waits at another runner
    And the takeover's runner sends events 4 to 5
    Then only the attempt at the other runner is in flight
    When a runner sends events 6 to 6 and ends the stream
    Then the caller has events 1 to 6, once each, and a complete response

  # Guards against takeovers without end at runners that are full.
  Scenario: A stream gets a limited number of takeovers
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and is silent
    And its runner sends nothing, and 4 takeovers are rejected 503
    Then the attempt at the silent runner is still in flight
    And no further takeover is started

  Scenario: A silent runner goes on while the takeover of its stream waits
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and is silent
    And its runner sends nothing, and a takeover waits at another runner
    And the silent runner sends the rest of event 4 to 5
    Then only the attempt at the silent runner is in flight
    When the silent runner sends events 6 to 6 and ends the stream
    Then the caller has events 1 to 6, once each, and a complete response

  Scenario: The connection to a silent runner is lost while a takeover waits
    Given a direct request of kind stream with at most 2 attempts
    When a runner sends events 1 to 3 and half of event 4, and is silent
    And its runner sends nothing, and a takeover waits at another runner
    And the connection to the silent runner is lost
    Then only the attempt at the other runner is in flight
    When a runner sends events 4 to 6 and ends the stream
    Then the caller has events 1 to 6, once each, and a complete response

  # Guards against a 502 for an answer that its runner was about to send.
  Scenario Outline: A slow answer outlasts a takeover that fails
    Given a direct request of kind idempotent with at most 2 attempts
    When its runner sends nothing, and 1 takeovers are <outcome>
    Then the attempt at the silent runner is still in flight
    When the silent runner answers with 200
    Then the caller receives 200 after <sent> sent attempts

    Examples:
      | outcome      | sent |
      | rejected 503 | 1    |
      | unreachable  | 1    |
      | disconnected | 2    |
      | complete 500 | 2    |

  Scenario: Random silences, rejections and failures of a stream's runners
    Then 4000 random streams with silent runners are never cut while a runner is left
