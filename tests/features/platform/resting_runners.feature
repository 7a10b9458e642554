Feature: Runners that ask for rest or leave get no new requests

  # Guards against a runner that rejects at once, looks empty, and draws all requests.
  Scenario Outline: A runner rejects requests on <path> and asks for rest: <rest>
    Given 3 entries and 3 runners
    When a runner rejects all requests and asks for rest: <rest>
    And callers ask for <path> at all entries for 7 s
    Then each entry sends it one request at most in each <seconds> s
    And all callers of running entries are served

    Examples:
      | path          | rest | seconds |
      | /stream/whole | 2    | 2       |
      | /stock/whole  | 1.5  | 1.5     |

  Scenario: All runners rest
    Given 3 entries and 3 runners
    When all runners reject all requests and ask for rest: 3
    And callers ask for /stream/whole at all entries for 6 s
    Then each entry sends each runner one request at most in each 3 s
    And every refused caller is told a time within 3 s, and its request did not run

  Scenario: A runner that has rested gets its share again
    Given 3 entries and 3 runners
    When a runner rejects all requests and asks for rest: 1
    And callers ask for /stream/whole at all entries for 2 s
    And it rejects no request any more
    And callers ask for /stream/whole at all entries for 4 s
    Then it gets a fifth of the requests of the last 2 s
    And all callers of running entries are served

  # Guards against requests to a runner that leaves and is listed as ready.
  Scenario Outline: A runner states in its <answers> that it leaves, with the store away
    Given 3 entries and 3 runners
    And callers ask for <path> at all entries for 1 s
    When the store falls silent
    And a runner states in its <answers> that it leaves
    And callers ask for <path> at all entries for 4 s
    Then it gets no request of an entry later than 0.3 s after its first answer there
    And it gets no request at all from 2 s on
    And all callers of running entries are served

    Examples:
      | answers       | path          |
      | whole answers | /stock/whole  |
      | rejections    | /stream/whole |
      | streams       | /stream/whole |
