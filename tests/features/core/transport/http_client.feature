Feature: The HTTP client bounds what it reads

  # Guards against a client that stores a body that never ends.
  Scenario: A body without end
    Given a server that sends a body without end
    When a client that accepts 100000 bytes fetches it
    Then the fetch fails with "the body is longer than 100000 bytes"
    And the client has closed the connection

  Scenario: A body of the longest accepted size
    Given a server that sends a body of 100000 bytes
    When a client that accepts 100000 bytes fetches it
    Then the fetch returns 100000 bytes
