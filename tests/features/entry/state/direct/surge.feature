Feature: A surge is met with queues that stay short and refusals that mean something

  Scenario: More ask than the runners can serve
    Given a group of 12 ranks with 6 places each, whose streams add 1.75 ms to a pass
    When 38 streams a second arrive at 6 entries for 30 s
    Then at least 90 in 100 of the streams that run keep both aims
    And the streams that keep both aims are at least 15 a second
    And nobody waits longer than 0.5 s for an answer or a refusal
    And each refusal says when to come back

  Scenario: Streams suddenly cost more
    Given a group of 12 ranks with 6 places each, whose streams add 0.9 ms to a pass
    When 30 streams a second arrive at 6 entries for 40 s, and every 4 s their cost jumps between 0.9 and 1.75 ms
    Then at least 85 in 100 of the streams that run keep both aims

  Scenario: Those that can be in time go before those that came back
    Given a waiting room with 3 callers that came back and 2 that are new
    When 2 places come free
    Then the new callers have them

  Scenario: Entries that hear of the same free place share it
    Given 6 entries with 2 waiting callers each
    When 3 places come free 400 times
    Then on the whole between 2.5 and 3.5 callers are admitted each time

  Scenario: Repeats stay inside the bound that all entries share
    Given a bound of 0.2 for each request and 88 in 10 s
    Then 6 entries that repeat all they may, one of them restarting, keep it
    And an entry alone may use at least a third of it

  Scenario: Keys are believed only while the configuration is proved to be the newest
    Given a bound of 5.0 s on revoked keys
    Then a proof asked at 10.0 s is good at 14.6 s and not at 14.8 s
    And a proof that comes late counts from when it was asked
    And without any proof no key is believed

  Scenario: Records that lapse while the log is out are held for a moment
    Given a runner that is known
    When its removal is seen 1.0 s after the log was out
    Then the runner is usable until 2.2 s after the log's return
    And a record that comes back in time keeps it

  Scenario: A removal while the log is well counts at once
    Given a runner that is known
    When its removal is seen
    Then the runner is gone

  Scenario: A plain service's runner that fails gets less, and recovers
    Given 3 runners of a plain service
    When one of them fails half of its requests
    Then it gets less than a fifth of the work within 40 requests
    And it gets its share back 20 s after it is well

  Scenario: A stream goes to the rank with the fewest, not to a slow one
    Given 4 ranks that run 2, 1, 1 and 0 streams, of which the last is slow
    Then the next stream goes to a rank with 1 stream

  Scenario: Entries are believed to be there for a moment only
    Given two entries that hear each other
    Then one that falls silent is not offered to callers after 1.5 s
    And news of an earlier life are not taken for new ones

  Scenario: An entry that serves no callers sees no pauses, and leaves balancing to others
    Given entries a, b and c, of which a is cut off from the log
    Then b balances within 0.6 s, and a does not
    When a serves callers again
    Then a balances after 0.6 s, and b does not

  Scenario Outline: Many entries that hear of each other late do not meet at one rank
    Given <entries> entries before <ranks> ranks with <places> places each, and news every <period> s
    When <streams> streams a second arrive for 15 s
    Then at most <most> in 100 streams come to a rank that is full

    Examples:
      | entries | ranks | places | period | streams | most |
      | 41      | 72    | 5      | 0.33   | 125     | 2    |
      | 6       | 12    | 6      | 0.05   | 24      | 1    |
      | 7       | 7     | 4      | 0.05   | 9       | 2    |
