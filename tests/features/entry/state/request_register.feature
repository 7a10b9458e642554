Feature: What an entry remembers of requests

  Scenario: Ended requests can be asked for and keep nothing of their bodies
    Given a register of 3 requests with bodies of 1000 bytes
    When the registered requests end
    Then the register finds each and holds no byte of a body

  Scenario: The register is bounded, and shows nothing to another workspace
    Given a register of 3 requests with bodies of 1000 bytes
    When 2 further requests are registered
    Then the register finds only the latest 3, and none for another workspace
