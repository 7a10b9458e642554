@demo_system
Feature: The whole path, run as separate processes

  Scenario: A caller gets its own whole answer through either entry
    When a caller sends one chat completion, streamed and whole, to each entry
    Then each answer is the model's own answer to that prompt

  Scenario: A wrong key, another workspace's request and a wrong token get nothing
    When callers without the right key ask
    Then each gets its typed error and the next request is served
