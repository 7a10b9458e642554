Feature: Bytes without end from the endpoint of an agent are cut off

  # Guards against an agent or entry that keeps what a faulty endpoint sends until it runs
  # out of memory, and ends the requests of all callers with it.
  Scenario Outline: <count> callers ask an endpoint that sends <bytes> without end
    Given an entry and the agent of an endpoint with 64 slots
    When <count> callers ask for /services/orders/<path> at once
    Then each of them gets an error, and a sound request is served at once
    And the memory of the entry and of the agent has grown by at most 64 MB

    Examples:
      | count | bytes                          | path   |
      | 1     | a body                         | body   |
      | 60    | a body                         | body   |
      | 60    | events that are never complete | events |
