@demo_system
Feature: Requests from end to end, through separate processes

  Scenario: A caller gets its own complete answer through either entry
    When a caller sends streamed and non-streamed chat completions to each entry
    Then each answer is the model's answer to its prompt

  Scenario: A wrong key, another workspace's request id and a wrong token are refused
    When callers send requests with wrong keys and tokens
    Then each request gets its typed error and the next valid one is served
