Feature: Orders that must not be repeated, while processes and the log fail

  Background:
    Given a system of processes that can fail

  Scenario: An entry is killed amid orders and the callers repeat them at the other
    When entry-0 is killed amid 10 orders
    And the callers repeat their orders at the other entry
    Then no order ran twice, and none that was told not to have run ran

  Scenario: An entry is frozen amid orders, which are repeated, and woken later
    When entry-0 is frozen amid 10 orders
    And the callers repeat their orders at the other entry
    And entry-0 is woken and its callers are answered
    Then no order ran twice, and none that was told not to have run ran

  Scenario: While the log is out, orders are refused at once and chats go on
    When the log is out and a caller sends an order and a chat
    Then the order is refused as not run with Retry-After, and the chat is answered
    And the same order runs once when the log is back

  Scenario: The answer to the append of a claim is lost
    When the log loses the answers to its next 2 appends and an order is sent
    Then the order ran once and its caller has the answer
