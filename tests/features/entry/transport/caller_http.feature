Feature: Time limits of callers' connections

  # Guards against an entry that counts its own pause as the caller's delay.
  Scenario: The rest of a request is read after its time limit was due
    Given a caller has sent the head of a request
    When the time limit becomes due and the body is read in the same pass of the reactor
    Then the request is handled

  Scenario: The rest of a request does not arrive
    Given a caller has sent the head of a request
    When the time limit becomes due and nothing is read
    Then the caller gets the status 408

  Scenario: A request arrives on an idle connection whose time limit was due
    Given a caller's connection is idle
    When the time limit becomes due and a request is read in the same pass of the reactor
    Then the request is handled

  # Guards against an exit that loses the end of an answer. The runner has sent it whole,
  # but the caller reads slowly, or its next request meets the close and resets it.
  Scenario: An entry that is stopping has an answer to send
    Given a caller's connection of an entry that is stopping
    When its request is answered faster than it reads
    Then the entry must not exit yet
    When all bytes are handed to the kernel
    Then the entry must not exit yet
    And only its own direction of the connection is closed
    When the caller closes the connection
    Then the entry may exit

  Scenario: The caller does not close the connection
    Given a caller's connection of an entry that is stopping
    When its request is answered faster than it reads
    And the connection lingers for 1 s
    Then the entry must not exit yet
    When all bytes are handed to the kernel
    And the connection lingers for 1 s
    Then the connection is closed

  # Guards against uploads that are read although the entry has no room for them.
  Scenario Outline: An upload <framing> has no room
    Given a caller's connection of an entry that holds as many bytes as it may
    When the caller begins an upload of 300000 bytes <framing>
    Then it gets 503 with a time to come back, and nothing has run
    And only the entry's direction of the connection is closed, and no byte is kept
    When the caller has closed
    Then no byte is held for it

    Examples:
      | framing       |
      | with a length |
      | in chunks     |

  Scenario: A small request while there is no room for uploads
    Given a caller's connection of an entry that holds as many bytes as it may
    When the caller sends a whole request
    Then the request is handled
