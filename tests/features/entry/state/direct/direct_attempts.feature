Feature: A direct request gets its own whole answer, or a true refusal

  Scenario Outline: What a caller is told
    Given a direct request of kind <kind> that may go to <attempts> runners
    When its sends fare so: <fate>
    Then the caller gets <answer> after <sends> sends

    Examples: requests that may run once
      | kind   | attempts | fate                        | answer        | sends |
      | once   | 1        | whole 200                   | 200           | 1     |
      | once   | 1        | broken                      | 502           | 1     |
      | once   | 2        | broken                      | 502           | 1     |
      | once   | 1        | rejected 503                | 503 later     | 1     |
      | once   | 2        | rejected 503, whole 200     | 200           | 2     |
      | once   | 2        | rejected 421, broken        | 502           | 2     |
      | once   | 1        | unsent, whole 200           | 200           | 1     |
      | once   | 1        | unsent, unsent, unsent      | 503 later     | 0     |
      | once   | 1        | whole 503                   | 502           | 1     |
      | once   | 1        | whole 500                   | 500           | 1     |
      | once   | 1        | unsigned 200                | 502           | 1     |
      | once   | 1        | encoded 200                 | 502           | 1     |
      | once   | 1        | late                        | 504           | 1     |
      | once   | 2        | rejected 503, late          | 504           | 2     |

    Examples: requests that may be repeated
      | kind       | attempts | fate                    | answer        | sends |
      | idempotent | 2        | broken, whole 200       | 200           | 2     |
      | idempotent | 2        | broken, broken          | 502           | 2     |
      | idempotent | 2        | whole 500, whole 200    | 200           | 2     |
      | idempotent | 2        | whole 500, whole 500    | 500           | 2     |
      | idempotent | 1        | broken                  | 502           | 1     |
      | idempotent | 2        | unsigned 200, whole 200 | 200           | 2     |
      | idempotent | 2        | rejected 503, broken    | 502           | 2     |
      | idempotent | 2        | stuck, whole 200        | 200           | 2     |

  Scenario: A stream goes on at another runner after its last whole event
    Given a direct request of kind stream that may go to 2 runners
    When a runner sends events 1 to 3 and half of event 4, and breaks off
    Then the request is sent again after event 3
    When a runner sends events 4 to 6, whole
    Then the caller has events 1 to 6, once each, and a whole answer

  Scenario: A stream that cannot be resumed does not look whole
    Given a direct request of kind stream that may go to 1 runners
    When a runner sends events 1 to 3 and half of event 4, and breaks off
    Then the caller's connection is closed after event 3

  Scenario: A stream that ends within an event is not whole
    Given a direct request of kind stream that may go to 1 runners
    When a runner sends events 1 to 2 and half of event 3, and ends
    Then the caller's connection is closed after event 2

  Scenario: A caller that leaves stops the runner's work
    Given a direct request of kind stream that may go to 2 runners
    When the caller leaves after events 1 to 2
    Then the send is cancelled and nothing else happens

  Scenario: Requests under random faults, against an account of what ran
    Then 4000 random direct requests run at most once where they may, and refusals are true

  Scenario: Events are the same however their bytes arrive
    Then 500 streams of events, cut anywhere, give the same whole events
