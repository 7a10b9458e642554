@crashing_runners
Feature: A request that crashes its runners is stopped by all entries together

  # Guards against a repeated request that ends one runner after another.
  Scenario Outline: A request that crashes runners comes again at every entry
    When <path> is requested 12 times, at each entry in turn
    Then it has crashed at most 2 runners
    And the last 6 requests were refused at once, with a Retry-After of at least 60 s
    And other requests are served by every entry

    Examples: paths
      | path                 |
      | /stock/crash         |
      | /orders/crash        |
      | /stream/crash        |
      | /stock/crash-silent  |
      | /stream/crash-silent |

  # Guards against a held request that runs again because the entries have forgotten it.
  Scenario: All entries are killed and started again
    Given /stock/crash has crashed 2 runners
    When all entries are killed and started again
    And /stock/crash is requested 6 times, at each entry in turn
    Then it has crashed at most 2 runners
    And other requests are served by every entry

  # Guards against an entry that runs a held request because it was frozen meanwhile.
  Scenario: An entry is frozen while the others learn of the crashes
    Given entry 3 is frozen
    And /stock/crash has crashed 2 runners
    When entry 3 wakes up
    And /stock/crash is requested 6 times, at each entry in turn
    Then it has crashed at most 2 runners
    And other requests are served by every entry

  # Guards against entries that learn of crashes only from the platform's log.
  Scenario: The platform's log is unavailable
    Given the platform's log refuses all calls
    When /open/crash is requested 9 times, at each entry in turn
    Then it has crashed at most 2 runners
    When the platform's log is available again and holds the quarantine
    And all entries are killed and started again
    And /open/crash is requested 6 times, at each entry in turn
    Then it has crashed at most 2 runners

  # Guards against an entry that serves before it knows the other entries, or what they
  # have quarantined: it was started, or the log became unavailable, just then.
  Scenario Outline: An entry that has not read part of the log is not ready
    Given the platform's log refuses calls for the <part>
    When another entry is started
    Then it is not ready within 2 s
    When the platform's log accepts calls for the <part>
    Then it becomes ready

    Examples:
      | part        |
      | entries     |
      | quarantines |

  # Guards against an entry that other entries cannot reach and that knows nothing.
  Scenario: A quarantine in the platform's log holds the request at every entry
    When the platform's log quarantines /stock/whole
    Then /stock/whole gets 503 at every entry
    When the platform's log no longer quarantines /stock/whole
    Then /stock/whole gets 200 at every entry

  # Guards against a runner that restarts before it can be probed.
  Scenario: Runners restart at once, with the same id and address
    Given runners that restart in place
    When /stock/crash is requested 15 times, at each entry in turn
    Then it reached no runner later than 3 s after its third crash
    And other requests are served by every entry

  # Guards against a probe that takes a runner that has come back at the address of a
  # crashed one for that runner, so that the crash does not count.
  Scenario Outline: Crashed runners come back at their address under a new id
    Given 6 runners that reset connections for 2 s after a crash, and then serve under a new id
    When <path> is requested 20 times, 0.7 s apart, at each entry in turn
    Then it has crashed at most 4 runners
    And it reached no runner later than 3 s after its third crash
    And other requests are served by every entry

    Examples: paths
      | path          |
      | /stock/crash  |
      | /stream/crash |

  # Guards against copies of a request that run at the same time at several entries.
  Scenario: Copies of the request arrive together
    When /stock/crash is requested at all entries together, 5 times, 1 s apart
    Then it reached no runner later than 3 s after its third crash
    And other requests are served by every entry

  # Guards against holding back requests that only ran beside one that ends runners.
  Scenario: Requests that run beside it are served
    When /stream/crash is requested 6 times while others stream at every entry
    Then no other request is held, and each other caller has had a complete stream
    And other requests are served by every entry

  # Guards against sound requests that stay held because they were lost beside others.
  Scenario Outline: Sound requests come again and again beside four that crash runners, seed <seed>
    Given 6 runners that reset connections for 2 s after a crash, and then serve under a new id
    When 9 sound requests come again and again beside 4 that crash runners, for 15 s with seed <seed>
    Then they have crashed at most 12 runners
    And from 2 windows after the last crash, 0.95 of the sound requests are served
    And no sound request is held for more than 3 s in a row

    Examples:
      | seed |
      | 1    |
      | 2    |
