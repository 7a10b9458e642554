Feature: A planned stop of an entry while runners work for longer than its grace time

  # Guards against requests that are taken late in the grace time, passed on, and cut off
  # without an answer at its end. An order among them may have run.
  Scenario Outline: An entry with a grace time of <grace> s stops
    Given two entries with a grace time of <grace> s, and routes with a timeout of 20 s
    When entry 2 gets SIGTERM while callers ask it for /<route>/hang at all times
    Then each request that it has read gets an answer
    And those that are refused as not run have not run, and at least 3 are
    And the entry exits within <grace> s

    Examples:
      | grace | route  |
      | 2     | orders |
      | 2     | stock  |
      | 8     | orders |
