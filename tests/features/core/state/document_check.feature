Feature: Validation and comparison of configuration documents

  Scenario: A valid document has no faults
    Given a valid configuration document
    Then the document check finds no faults

  Scenario Outline: Each fault is reported with its path, a reason and a remedy
    Given a valid configuration document
    When the document has <change>
    Then the document check finds a fault at <path>

    Examples:
      | change                                | path                             |
      | a workspace with an unknown service   | $.workspaces.kits.services[1]    |
      | a key digest in two workspaces        | $.workspaces.kits.key_digests[0] |
      | a model service without a group       | $.services.assistant.group       |
      | a model service without a model       | $.services.assistant.model       |
      | a service with an unknown group       | $.services.assistant.group       |
      | a plain service with a group          | $.services.shop.group            |
      | guaranteed shares above one           | $.groups.main.shares             |
      | a burst below the guaranteed share    | $.groups.main.shares.kits.burst  |
      | a share of an unknown workspace       | $.groups.main.shares.other       |
      | too few slots for its experts         | $.groups.main.slots_per_rank     |
      | trust in an unknown service           | $.endpoint_trust.other           |

  Scenario: All faults are reported together
    Given a valid configuration document
    When the document has a workspace with an unknown service
    And the document has guaranteed shares above one
    Then the document check finds 2 faults

  Scenario: A difference names the changed item and its fields
    Given a valid configuration document
    When the document has guaranteed shares above one
    Then the document difference is "groups.main changed (shares)"
