Feature: Orders run at most once while processes and the log service fail

  Background:
    Given a running system for fault injection

  Scenario: Callers retry orders at the other entry after their entry is killed
    When entry-0 is killed while 10 orders are in flight
    And the callers retry their orders at the other entry
    Then no order ran twice, and no order that was reported as not run ran

  Scenario: Callers retry orders of a paused entry, which is resumed later
    When entry-0 is paused while 10 orders are in flight
    And the callers retry their orders at the other entry
    And entry-0 is resumed and its callers' requests end
    Then no order ran twice, and no order that was reported as not run ran

  Scenario: During a log service outage, orders are refused at once and chats continue
    When the log service is unavailable and a caller sends an order and a chat
    Then the order is refused as not run with Retry-After, and the chat is answered
    And the same order runs once after the log service recovers

  Scenario: The response to the append of a claim is lost
    When the log service drops its next 2 append responses and an order is sent
    Then the order runs once and its caller gets the answer
