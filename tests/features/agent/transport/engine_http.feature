Feature: HTTP adapter for engines and plain services

  Scenario: A streamed answer reaches the sink complete and in order
    Given an engine stand-in
    When the adapter requests a streamed answer
    Then the sink received the model's answer token by token and its end

  Scenario: Cancelling a call stops it on the engine
    Given an engine stand-in
    When the adapter cancels a long answer after its first bytes
    Then the engine stand-in has cancelled it and the sink receives no end

  Scenario: A call to an unreachable engine is reported as not run
    Given an engine stand-in
    And the stand-in behind the adapter is stopped
    When the adapter requests a streamed answer
    Then the sink received a failure that says the call ran: no

  Scenario Outline: The adapter does not retry a call whose answer was lost
    Given a plain service stand-in that drops its second answer
    When the adapter calls "<method> <path>" twice on one connection
    Then the sink received a failure that says the call ran: unknown
    And the plain service stand-in has run the call 2 times

    Examples:
      | method | path       |
      | POST   | /orders    |
      | GET    | /stock/wax |

  Scenario: An order with a lower fencing token is refused
    Given an engine stand-in
    When the adapter sends orders with the fencing tokens 5 and 4
    Then the last order failed with fenced
