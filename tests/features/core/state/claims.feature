Feature: Claims stream

  Scenario Outline: The first claim holds the key until its own release
    When the claims stream holds "<records>"
    Then the key is <state>

    Examples:
      | records                                          | state        |
      | claim a                                          | claimed by a |
      | claim a, claim b                                 | claimed by a |
      | claim a, release a                               | not run      |
      | claim a, release a, claim b                      | claimed by b |
      | claim a, claim b, release b                      | claimed by a |
      | claim a, release a, claim b, release a           | claimed by b |
      | claim a, release a, claim a                      | not run      |
      | claim a, claim b, release a, claim b             | not run      |
      | claim a, done a, release a                       | done         |
      | claim a, unknown a, release a                    | unknown      |
      | claim a, unknown a, done a                       | done         |
      | claim a, done a, unknown a                       | done         |
      | claim a, release a, done a                       | not run      |
      | claim a, release a, claim b, done a              | claimed by b |
      | undated a, remembered, release a, undated b      | not run      |

  Scenario: A late reader gets the undated keys from a record that covers the missed ones
    Given a claims reader that starts at offset 10
    When it reads a record of the undated keys up to offset 8
    Then it does not have all undated keys
    When it reads a record of the undated keys up to offset 9
    Then it has all undated keys

  Scenario: A reader does not have all undated keys after retention dropped unread records
    Given a claims reader that starts at offset 0
    When retention drops the unread records before offset 5
    Then it does not have all undated keys

  Scenario: An undated key is retired when its state is evicted
    Given a claims reader that starts at offset 0
    When it reads an undated claim and retention drops the record
    Then the key is retired

  Scenario Outline: A dated key is rejected outside the window
    Then a UUIDv7 key created <age> s ago is <answer> in a window of 100 s

    Examples:
      | age  | answer   |
      | 99   | accepted |
      | 101  | rejected |
      | -99  | accepted |
      | -101 | rejected |
