@demo_system
Feature: Operators use the command line

  Scenario: Status shows the runners, as text and as JSON
    When an operator asks an entry for its status
    Then the text names every runner and the JSON has the same ones

  Scenario Outline: A call that cannot succeed exits with 1 and names the remedy
    When an operator asks for the status with <fault>
    Then the command exits with 1 and says "<text>"

    Examples:
      | fault           | text                  |
      | a wrong token   | operators' token      |
      | a wrong address | check --operators-url |
      | no token file   | can't be read         |

  Scenario: A drained entry disappears from the list of entries and serves on
    When an operator drains the second entry
    Then both entries name only the first one to callers
    And the second entry still answers a chat completion
