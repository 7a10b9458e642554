Feature: Requests that ask for the same have the same fingerprint

  Scenario Outline: What a fingerprint depends on
    When a request is sent again with another <part>
    Then its fingerprint is <result>

    Examples:
      | part          | result       |
      | request id    | the same     |
      | API key       | the same     |
      | resume offset | the same     |
      | time limit    | the same     |
      | body          | another one  |
      | target        | another one  |
      | workspace     | another one  |
      | method        | another one  |
      | host          | another one  |

  Scenario: Bytes do not move between the target and the body unnoticed
    When the last byte of a request's target becomes the first of its body
    Then its fingerprint is another one
