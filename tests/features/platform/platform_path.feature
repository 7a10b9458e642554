@platform_system
Feature: Entries serve callers on the platform's interfaces, as separate processes

  Scenario Outline: What a caller gets, whatever a runner does
    When a caller asks for <path>
    Then it gets <status> and <body>
    And the request ran <runs> times

    Examples: an order may run once
      | path                     | status    | body           | runs |
      | /orders/whole            | 200       | the whole body | 1    |
      | /orders/lost             | 502       | nothing        | 1    |
      | /orders/reset            | 502       | nothing        | 1    |
      | /orders/garbage          | 502       | nothing        | 1    |
      | /orders/error            | 500       | the error      | 1    |
      | /orders/busy             | 502       | nothing        | 1    |
      | /orders/unsigned         | 502       | nothing        | 1    |
      | /orders/encoded          | 502       | nothing        | 1    |
      | /orders/cut              | 502       | nothing        | 1    |
      | /orders/extra            | 200       | the whole body | 1    |
      | /orders/stray-first      | 200       | the whole body | 1    |
      | /orders/unframed         | 200       | the whole body | 1    |
      | /orders/unframed-reset   | 502       | nothing        | 1    |
      | /orders/hang             | 504       | nothing        | 1    |
      | /orders/reject           | 503 later | nothing        | 0    |
      | /orders/misdirected      | 503 later | nothing        | 0    |

    Examples: a lookup may be repeated
      | path                     | status    | body           | runs |
      | /stock/lost-once         | 200       | the whole body | 2    |
      | /stock/reset-once        | 200       | the whole body | 2    |
      | /stock/garbage-once      | 200       | the whole body | 2    |
      | /stock/error-once        | 200       | the whole body | 2    |
      | /stock/hang-once         | 200       | the whole body | 2    |
      | /stock/reject-once       | 200       | the whole body | 1    |
      | /stock/misdirected-once  | 200       | the whole body | 1    |
      | /stock/cut-once          | 200       | the whole body | 2    |

    Examples: a stream
      | path                     | status    | body           | runs |
      | /stream/whole            | 200       | all events     | 1    |
      | /stream/torn-once        | 200       | all events     | 2    |

  Scenario: A stream that breaks off at every runner does not look whole
    When a caller asks for /stream/torn
    Then its connection breaks after event 3

  Scenario: A stray answer reaches no other request on the same connection
    When 20 callers ask for /stock/extra and /stock/stray-first by turns
    Then each gets the whole body

  Scenario Outline: Requests that are not served
    When a caller asks for <path> with <key>
    Then it gets <status> and nothing
    And the request ran 0 times

    Examples:
      | path         | key            | status |
      | /orders/x    | no key         | 401    |
      | /orders/x    | an unknown key | 401    |
      | /nowhere/x   | its key        | 404    |
      | /orders      | its key        | 404    |

  Scenario: A public route needs no key and tells the runner of no workspace
    When a caller asks for /open/whole with no key, saying it is somebody else
    Then it gets 200 and the whole body
    And the runner was told of no workspace and no key

  Scenario: A runner is told the workspace and never the key
    When a caller asks for /orders/whole
    Then the runner was told of the caller's workspace and no key
    And the runner was told of the time that is left

  Scenario Outline: Bytes that are not a request, and bodies over the limit
    When a caller sends <bytes>
    Then it gets the status <status>, and the entry serves on

    Examples:
      | bytes                             | status |
      | GET / HTTP/9.9                    | 505    |
      | a request without Host            | 400    |
      | two lengths that differ           | 400    |
      | a body over the limit             | 413    |
      | a chunked body over the limit     | 413    |
      | headers over the limit            | 431    |
      | a JSON body nested 100,000 deep   | 200    |

  Scenario: A caller that leaves stops the runner's work
    When a caller asks for /stream/slow and leaves after the first event
    Then the runner's connection is closed within 0.5 s

  Scenario: A runner that is leaving gets no new work, its requests end
    When runner 2 says that it is leaving
    Then within 2 s no new request reaches it

  Scenario: A forged record hides no runner
    When records that name no runner are written
    Then 10 requests are served as before

  Scenario: Entries hear of each other
    Then each entry tells callers of both
    When entry 2 is told to stop while a caller streams from it
    Then the stream is whole and entry 2 exits
    And entry 1 tells callers of itself only
    When entry 2 is started again
    Then each entry tells callers of both

  Scenario: Settings that change while an entry runs
    When the grace time in entry 1's settings changes and it gets SIGHUP
    Then its log names the bounds and a remedy, and it serves on

  Scenario: A configuration that cannot be decoded changes nothing
    When a configuration that cannot be decoded is published
    Then the entries say so with a remedy, and serve on

  Scenario: A route that is added, and dropped history
    When a route /added/ is published and the history is dropped
    Then within 2 s /added/whole is served by both entries

  Scenario: Revoked keys stop working, also while the store is away
    When the store is silent
    Then within 3.5 s the entries are not ready, and answer requests with keys 503 later
    And a public route is served
    When the store answers again
    Then the entries are ready again
    When the caller's key is revoked
    Then within 2 s its requests get 401
    When the caller's key is given back
    Then within 2 s its requests get 200

  Scenario: The log and the metrics tell what happened
    When a caller asks for /orders/lost
    Then one line of the log says how the request ended, and why
    And the metrics count it
    And "explain" tells its story from the logs of both entries

  Scenario: Each answer that is no success has one line that names its cause
    When callers get answers of every kind that is no success
    Then the log has one line for each, with its status and a reason
    And requests that cannot be read have one line each

  Scenario: An overload does not flood the log, and the log tells what it left out
    When 600 requests with an unknown key come at once
    Then the log has at most 180 lines for them, and 60 for each second
    And lines and those left out make 601 together, with the one that comes 1.1 s later
