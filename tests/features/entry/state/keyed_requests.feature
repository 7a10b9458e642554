Feature: Requests that must not be repeated

  Scenario: No key runs twice and nobody is told wrongly, whatever two faults strike
    When the claims machine runs 700 examples of up to 20 steps
    Then the claims machine found no broken promise
