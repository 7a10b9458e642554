@platform_system
Feature: Entry processes serve callers over the platform's interfaces

  Scenario Outline: Answers to callers when runners misbehave
    When a caller asks for <path>
    Then it gets <status> and <body>
    And the request ran <runs> times

    Examples: an order may run only once
      | path                   | status               | body           | runs |
      | /orders/whole          | 200                  | the whole body | 1    |
      | /orders/lost           | 502                  | nothing        | 1    |
      | /orders/reset          | 502                  | nothing        | 1    |
      | /orders/garbage        | 502                  | nothing        | 1    |
      | /orders/error          | 500                  | the error      | 1    |
      | /orders/busy           | 502                  | nothing        | 1    |
      | /orders/unsigned       | 502                  | nothing        | 1    |
      | /orders/encoded        | 502                  | nothing        | 1    |
      | /orders/cut            | 502                  | nothing        | 1    |
      | /orders/cut-head       | 502                  | nothing        | 1    |
      | /orders/extra          | 200                  | the whole body | 1    |
      | /orders/stray-first    | 200                  | the whole body | 1    |
      | /orders/unframed       | 200                  | the whole body | 1    |
      | /orders/unframed-reset | 502                  | nothing        | 1    |
      | /orders/hang           | 504                  | nothing        | 1    |
      | /orders/reject         | 503 with Retry-After | nothing        | 0    |
      | /orders/misdirected    | 503 with Retry-After | nothing        | 0    |

    Examples: a lookup may be retried
      | path                     | status    | body           | runs |
      | /stock/lost-once         | 200       | the whole body | 2    |
      | /stock/reset-once        | 200       | the whole body | 2    |
      | /stock/garbage-once      | 200       | the whole body | 2    |
      | /stock/error-once        | 200       | the whole body | 2    |
      | /stock/hang-once         | 200       | the whole body | 2    |
      | /stock/reject-once       | 200       | the whole body | 1    |
      | /stock/misdirected-once  | 200       | the whole body | 1    |
      | /stock/cut-once          | 200       | the whole body | 2    |
      | /stock/cut-head-once     | 200       | the whole body | 2    |

    Examples: a stream
      | path                     | status    | body           | runs |
      | /stream/whole            | 200       | all events     | 1    |
      | /stream/torn-once        | 200       | all events     | 2    |
      | /stream/cut-head-once-2  | 200       | all events     | 2    |

    # Guards against streams without a length or chunks that are cut off, or that are
    # passed on as complete although they ended inside an event.
    Examples: a stream that ends with its connection
      | path                        | status | body       | runs |
      | /stream/unframed            | 200    | all events | 1    |
      | /stream/unframed-torn-once  | 200    | all events | 2    |
      | /stream/unframed-reset-once | 200    | all events | 2    |

  Scenario Outline: A stream that is cut off at every runner does not end as complete
    When a caller asks for <path>
    Then its connection is cut after event 3

    Examples:
      | path                   |
      | /stream/torn           |
      | /stream/unframed-torn  |
      | /stream/unframed-reset |

  Scenario: A stray answer is not delivered to another request on the same connection
    When 20 callers ask for /stock/extra and /stock/stray-first alternately
    Then each gets the whole body

  # Guards against callers that are told "not run" for a request that a runner runs, since
  # the runner wrote a refusal of before once more on a kept connection.
  Scenario: A runner writes an earlier refusal once more
    When 20 callers ask for /stock/refusal-again and /stock/refusal-again-unnamed alternately
    Then each gets the whole body
    When 12 callers ask for /orders/refusal-again and /orders/refusal-again-unnamed alternately
    Then each gets the whole body
    And each of their requests ran once

  Scenario Outline: Requests that are rejected
    When a caller asks for <path> with <key>
    Then it gets <status> and nothing
    And the request ran 0 times

    Examples:
      | path         | key            | status |
      | /orders/x    | no key         | 401    |
      | /orders/x    | an unknown key | 401    |
      | /nowhere/x   | its key        | 404    |
      | /orders      | its key        | 404    |

  Scenario: A public route needs no key and sends no workspace to the runner
    When a caller asks for /open/whole with no key, claiming another workspace
    Then it gets 200 and the whole body
    And the runner received no workspace and no key

  Scenario: A runner receives the workspace and never the key
    When a caller asks for /orders/whole
    Then the runner received the caller's workspace and no key
    And the runner received the remaining time

  Scenario Outline: Malformed requests, and requests over the limits
    When a caller sends <bytes>
    Then it gets the status <status>, and the entry keeps serving

    Examples:
      | bytes                             | status |
      | GET / HTTP/9.9                    | 505    |
      | a request without Host            | 400    |
      | two lengths that differ           | 400    |
      | a body over the limit             | 413    |
      | a chunked body over the limit     | 413    |
      | headers over the limit            | 431    |
      | a JSON body nested 100,000 deep   | 200    |

  Scenario: A request is cancelled at the runner when its caller disconnects
    When a caller asks for /stream/slow and disconnects after the first event
    Then the runner's connection is closed within 0.5 s

  Scenario: A draining runner gets no new requests
    When runner 2 registers as draining
    Then within 2 s no new request reaches it

  Scenario: A forged record removes no runner
    When malformed runner records are written
    Then 10 requests are served as before

  Scenario: Entries discover each other
    Then each entry returns the addresses of both
    When entry 2 gets SIGTERM while a caller streams from it
    Then the stream is complete and entry 2 exits
    And entry 1 returns only its own address
    When entry 2 is restarted
    Then each entry returns the addresses of both

  # Guards against an exit that loses the end of an answer: the runner has sent it whole,
  # but the caller reads slowly, so that the entry still has bytes to send.
  Scenario: A caller reads slowly while its entry stops
    When entry 2 gets SIGTERM while a caller reads /stock/large in 4.5 s
    Then it gets all bytes of the large body and the entry exits
    When entry 2 is restarted
    Then each entry returns the addresses of both

  Scenario: Settings that change while an entry runs
    When the grace time in entry 1's settings changes and it gets SIGHUP
    Then its log names the bounds and a remedy, and it keeps serving

  Scenario: A configuration that cannot be decoded changes nothing
    When a configuration that cannot be decoded is published
    Then the entries log the fault with a remedy, and keep serving

  Scenario: A route is added and superseded records are dropped
    When a route /added/ is published and superseded records are dropped
    Then within 2 s /added/whole is served by both entries

  Scenario: Revoked keys stop working, also while the store is unavailable
    When the store stops answering
    Then within 3.5 s the entries are not ready, and answer keyed requests with 503 and Retry-After
    And a public route is served
    When the store answers again
    Then the entries are ready again
    When the caller's key is revoked
    Then within 2 s its requests get 401
    When the caller's key is restored
    Then within 2 s its requests get 200

  Scenario: The log and the metrics record what happened
    When a caller asks for /orders/lost
    Then one log line records how the request ended, and why
    And the metrics count it
    And "explain" reconstructs it from the logs of both entries

  Scenario: Each error answer has one log line that names its cause
    When callers get every kind of error answer
    Then the log has one line for each, with its status and a reason
    And malformed requests have one line each

  Scenario: An overload does not flood the log, and the log counts omitted lines
    When 600 requests with an unknown key arrive at once
    Then the log has at most 180 lines for them, plus 60 per second
    And logged and omitted lines add up to 601, with the request sent 1.1 s later

  # Guards against an entry that counts its own pause as the caller's delay.
  Scenario: A request that arrives while its entry is paused is served
    When entry 1 is paused for 2.5 s after the head of a request, and the body arrives
    Then that request gets the status 200

  Scenario: A request that is not received in time is refused
    When only the head of a request is sent
    Then that request gets the status 408
