Feature: Runners and engines that close in the middle of an answer's head

  # Guards against a 200 with an empty or short body that is framed as whole, since what
  # had arrived of the head passed for all of it.
  Scenario Outline: <client> reads answers that end after each byte, by <ending>
    Given a server whose answers end early, by <ending>
    When <client> asks once for each byte of an answer <framing>
    Then no answer is complete before its last byte, and none begins before its head is

    Examples:
      | client          | framing          | ending |
      | an entry        | with a length    | close  |
      | an entry        | with a length    | reset  |
      | an entry        | in chunks        | close  |
      | an entry        | in chunks        | reset  |
      | an entry        | without a length | reset  |
      | an agent        | with a length    | close  |
      | an agent        | with a length    | reset  |
      | an agent        | in chunks        | close  |
      | an agent        | in chunks        | reset  |
      | an agent        | without a length | reset  |

  # An answer without a length ends with its connection, so only its head can be cut.
  Scenario Outline: <client> reads answers without a length whose head ends early
    Given a server whose answers end early, by close
    When <client> asks once for each byte of an answer without a length
    Then no answer begins or is complete before its head is

    Examples:
      | client   |
      | an entry |
      | an agent |
