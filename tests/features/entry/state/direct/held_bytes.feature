Feature: One account limits the bytes that an entry holds

  Scenario Outline: The limit follows from the memory of the process
    Then a process with <memory_mb> MB of memory holds at most <limit> bytes

    Examples:
      | memory_mb | limit    |
      | 300       | 20971520 |
      | 168       | 20971520 |
      | 80        | 10000000 |

  # Guards against many answers without end that are each within their limit.
  Scenario: Answers without a known length grow beside each other
    Given an account of 1000 bytes
    When answers a, b, c without a known length hold 300, 400 and 200 bytes
    Then 900 bytes are held and nothing was cut
    When answer c without a known length holds 301 bytes
    Then answer b was cut and 601 bytes are held

  Scenario: An answer of known length takes the room of those without
    Given an account of 1000 bytes
    When answers a, b, c without a known length hold 300, 400 and 200 bytes
    And an answer of 700 bytes asks for room
    Then it has room at once
    And answers a, b were cut

  # Guards against answers that wait for each other's room when each is partly held.
  Scenario: Answers of known length wait in order and continue in order
    Given an account of 1000 bytes
    When answers of 600, 700 and 100 bytes ask for room
    Then the first has room, and the others wait
    When the first is released
    Then all have had room, in order

  Scenario: An answer that is longer than the limit does not block the ones after it
    Given an account of 1000 bytes
    When an answer of 5000 bytes asks for room
    Then it has room at once

  Scenario: An answer that has waited ends before there is room
    Given an account of 1000 bytes
    When answers of 600, 700 and 500 bytes ask for room
    And the second is released
    And the first is released
    Then the third has room

  Scenario: Uploads leave room for answers
    Given an account of 1000000 bytes
    When uploads of 400000, 400000 and 100000 bytes arrive
    Then the third is refused
    And an upload of 60000 bytes is admitted
    When an answer of 200000 bytes asks for room
    Then it has room at once
    When the first upload is released
    Then an upload of 400000 bytes is admitted

  Scenario: Only a caller that reads nothing is cut off
    Given an account of 1000 bytes
    When a caller has 800 unread bytes at 0.0 s
    And it reads 100 bytes by 0.9 s
    And an answer without a known length holds 500 bytes at 1.5 s
    Then only that answer was cut
    When an answer without a known length holds 400 bytes at 2.0 s
    Then only the caller was cut off

  Scenario: Random holders never exceed the limit, and none is left
    Then 300 random accounts stay within their limit and end empty
