@demo_system
Feature: Orders run at most once, through separate processes

  Scenario: The same key at both entries at once runs once, and all get its answer
    When an order is sent 4 times to each entry at once under one key
    Then each sender gets the answer of that order
    And that order was run once

  Scenario: A key with another body is refused
    When an order is sent under a key that served another order
    Then the order is refused as key_reused, ran no

  Scenario: While the log is out an order is refused at once, and runs once after
    When an order is sent while the log is out, and again with its key after
    Then the first was refused with Retry-After, ran no, and the second answered
    And that order was run once

  Scenario: A claim whose append is not answered still serves its order
    When an order is sent while the log loses an answer
    Then each sender gets the answer of that order
    And that order was run once

  Scenario: An order whose endpoint does not answer is unknown and not run again
    When an order is sent whose endpoint loses the answer, and again with its key
    Then both senders are told unknown
    And that order was run once

  Scenario: An order whose entry was killed is answered by another entry
    When an order's entry is killed while it runs, and another entry gets its key
    Then each sender gets the answer of that order
    And that order was run once
