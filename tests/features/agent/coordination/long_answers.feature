Feature: An agent keeps a limited number of bytes of its endpoint's answers

  Scenario: The endpoint is not read while its entry lags behind
    Given an agent with 4 running attempts
    When the endpoint sends 262144 bytes with tokens in each answer
    Then all answers are paused
    When the entry acknowledges 196608 bytes of the first answer
    Then the first answer is read on, and the others are paused

  Scenario: An answer without tokens is too long
    Given an agent with 4 running attempts
    When the endpoint sends 4200000 bytes without a token in the first answer
    Then the first attempt fails and its call is cancelled
    And the other attempts go on

  Scenario: An answer with tokens may have any length
    Given an agent with 4 running attempts
    When the endpoint sends 9000000 acknowledged bytes with tokens in the first answer
    Then no attempt has failed

  Scenario: An entry acknowledges nothing
    Given an agent with 70 running attempts
    When the endpoint sends 262144 bytes with tokens in each answer
    Then the attempts that are left keep at most 16777216 bytes
