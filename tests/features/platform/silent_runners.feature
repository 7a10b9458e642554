Feature: A request whose runner is silent for a while is not worse off for it

  # Guards against streams that are cut because their entry left a silent but sound runner
  # before another one had accepted them, with and without a planned stop.
  Scenario Outline: A runner preempts a stream while all others are full, <when>
    Given an entry, and a stream that makes progress beside others
    When a caller asks for /stream/preempted-once, and all runners are full until 3.0 s
    And the entry <event> while the stream is silent
    Then the caller gets all events, with no pause over 1.4 s
    And at most 4 takeovers of the request were rejected

    Examples:
      | when            | event        |
      | in calm         | goes on      |
      | during its stop | gets SIGTERM |

  # Guards against a fix that merely waits: callers give up after 2 s.
  Scenario Outline: A runner stays silent, and the others are full until <full_s> s
    Given an entry, and a stream that makes progress beside others
    When a caller asks for /stream/silent-once, and all runners are full until <full_s> s
    Then the caller gets all events, with no pause over 2.0 s
    And at most 4 takeovers of the request were rejected

    Examples:
      | full_s |
      | 0.0    |
      | 1.5    |

  # Guards against a 502 for an answer that its runner was about to send.
  Scenario: A runner answers slowly while all others are full
    Given an entry, and a stream that makes progress beside others
    When a caller asks for /stock/sluggish-once, and all runners are full until 3.0 s
    Then the caller gets the whole body
    And at most 4 takeovers of the request were rejected

  # Guards against streams that are lost because the repeats of rejected requests have used
  # up the retry budget. A rejected request has not run and can be refused instead.
  Scenario: A runner stays silent while the others reject many new requests for 1.5 s
    Given an entry, and a stream that makes progress beside others
    When a caller asks for /stream/silent-once, and all runners are full until 1.5 s
    And 4 callers send one request after the other meanwhile
    Then the caller gets all events, with no pause over 2.0 s
