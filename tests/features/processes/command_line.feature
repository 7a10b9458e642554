@demo_system
Feature: Operators use the command line

  Scenario: The status command lists the runners, as text and as JSON
    When an operator requests the status of an entry
    Then the text and the JSON list every runner

  Scenario Outline: A command that fails exits with 1 and prints a remedy
    When an operator requests the status with <fault>
    Then the command exits with 1 and prints "<text>"

    Examples:
      | fault           | text                  |
      | a wrong token   | operators' token      |
      | a wrong address | check --operators-url |
      | no token file   | can't be read         |

  Scenario: A draining entry is removed from the list of entries and still serves
    When an operator drains the second entry
    Then both entries list only the first one to callers
    And the second entry still answers a chat completion
