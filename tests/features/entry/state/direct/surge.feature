Feature: Overload leads to short queues and to refusals with a retry delay

  Scenario: Demand exceeds the capacity of the runners
    Given a group of 12 ranks with 6 slots each, whose streams add 1.75 ms to a pass
    When 38 streams a second arrive at 6 entries for 30 s
    Then at least 90 in 100 of the streams that run meet both objectives
    And the streams that meet both objectives are at least 15 a second
    And no caller waits longer than 0.5 s for a response or a refusal
    And each refusal has a retry delay

  Scenario: Streams suddenly cost more
    Given a group of 12 ranks with 6 slots each, whose streams add 0.9 ms to a pass
    When 30 streams a second arrive at 6 entries for 40 s, and every 4 s their cost jumps between 0.9 and 1.75 ms
    Then at least 85 in 100 of the streams that run meet both objectives

  Scenario: New callers are admitted before callers that were refused before
    Given a queue with 3 callers that were refused before and 2 new callers
    When 2 slots become free
    Then the new callers are admitted

  Scenario: Entries that see the same free slots divide them
    Given 6 entries with 2 waiting callers each
    When 3 slots become free 400 times
    Then on average between 2.5 and 3.5 callers are admitted each time

  Scenario: Retries stay within the bound for all entries
    Given a retry bound of 0.2 per request and 88 in 10 s
    Then 6 entries that use their full budget, one of them restarting, stay within it
    And a single entry may use at least a third of it

  Scenario: Keys are accepted only while the configuration is confirmed as the newest
    Given a bound of 5.0 s on revoked keys
    Then a confirmation requested at 10.0 s is valid at 14.6 s and not at 14.8 s
    And a late confirmation of an earlier request is ignored
    And without any confirmation no key is accepted

  Scenario: Removals shortly after an outage of the log are delayed
    Given a registered runner
    When its removal is received 1.0 s after an outage of the log
    Then the runner is usable until 2.2 s after the outage
    And a runner whose record is renewed in time stays usable

  Scenario: A removal without an outage applies at once
    Given a registered runner
    When its removal is received
    Then the runner is unusable

  Scenario: A failing runner of a plain service gets fewer requests until it recovers
    Given 3 runners of a plain service
    When one of them fails half of its requests
    Then it gets less than a fifth of the requests after the first 40
    And it gets at least a fifth of the requests 20 s after it recovers

  Scenario: A stream goes to the least loaded rank that is not slow
    Given 4 ranks that run 2, 1, 1 and 0 streams, of which the last is slow
    Then the next stream goes to a rank with 1 stream

  Scenario: Entries without recent updates are not considered alive
    Given two entries that exchange updates
    Then one that stops sending is not considered alive after 1.5 s
    And updates of an earlier incarnation are ignored

  Scenario: An entry that serves no callers leaves balancing to others
    Given entries a, b and c, of which a is disconnected from the log
    Then b balances within 0.6 s, and a does not
    When a serves callers again
    Then a balances after 0.6 s, and b does not

  Scenario Outline: Entries with stale peer updates do not overfill one rank
    Given <entries> entries for <ranks> ranks with <slots> slots each, and updates every <period> s
    When <streams> streams a second arrive for 15 s
    Then at most <most> in 100 streams are sent to a full rank

    Examples:
      | entries | ranks | slots  | period | streams | most |
      | 41      | 72    | 5      | 0.33   | 125     | 2    |
      | 6       | 12    | 6      | 0.05   | 24      | 1    |
      | 7       | 7     | 4      | 0.05   | 9       | 2    |
