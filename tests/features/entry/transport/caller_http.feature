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
