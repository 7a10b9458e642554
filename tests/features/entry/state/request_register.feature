Feature: Register of an entry's latest requests

  Scenario: Ended requests stay in the register without their bodies
    Given a full register of 3 requests with bodies of 1000 bytes
    When the registered requests end
    Then the register finds each request without its body

  Scenario: The register is bounded and hides requests from other workspaces
    Given a full register of 3 requests with bodies of 1000 bytes
    When 2 further requests are registered
    Then the register finds only the latest 3, and none for another workspace
