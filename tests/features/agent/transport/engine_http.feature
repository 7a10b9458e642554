Feature: The engine and the plain service over HTTP

  Scenario: A streamed answer is the model's
    Given an engine stand-in
    When the adapter asks for a streamed answer
    Then the sink got the model's answer, token by token, and its end

  Scenario: Cancelling stops the call on the engine
    Given an engine stand-in
    When the adapter cancels a long answer after its first bytes
    Then the engine stand-in has cancelled it and the sink hears no end

  Scenario: An engine that is gone has not run the call
    Given an engine stand-in
    And the stand-in behind the adapter is gone
    When the adapter asks for a streamed answer
    Then the sink got a failure that says the call ran: no

  Scenario Outline: A lost answer is never asked for again by the adapter
    Given a plain service stand-in that loses its second answer
    When the adapter calls "<method> <path>" twice on one connection
    Then the sink got a failure that says the call ran: unknown
    And the plain service stand-in has run it 2 times

    Examples:
      | method | path       |
      | POST   | /orders    |
      | GET    | /stock/wax |

  Scenario: An order with an older fencing token is refused
    Given an engine stand-in
    When the adapter gives orders with the fencing tokens 5 and 4
    Then the last order failed with fenced
