@demo_system
Feature: Orders run at most once, through separate processes

  Scenario: Concurrent orders with one key run once, and all callers get the answer
    When an order is sent 4 times to each entry concurrently with one key
    Then each caller gets the answer of that order
    And that order ran once

  Scenario: A key that is reused with another body is refused
    When an order is sent with the key of a different order
    Then the order is refused with the error kind key_reused and ran=no

  Scenario: An order is refused during a log service outage and runs once afterwards
    When an order is sent during a log service outage and retried with its key afterwards
    Then the first is refused as not run with Retry-After, and the second is answered
    And that order ran once

  Scenario: An order runs although the response to the append of its claim is lost
    When an order is sent while the log service drops an append response
    Then each caller gets the answer of that order
    And that order ran once

  Scenario: An order whose endpoint does not respond has an unknown outcome and is not retried
    When an order is sent whose endpoint drops the response, and retried with its key
    Then both callers get an unknown outcome
    And that order ran once

  Scenario: An order whose entry is killed is answered by another entry
    When an order's entry is killed during the order, and another entry gets its key
    Then each caller gets the answer of that order
    And that order ran once
