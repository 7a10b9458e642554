Feature: What a claims stream says of a key

  Scenario Outline: The first claim wins, and only its own release frees the key
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

  Scenario: A reader that missed records knows undated keys from a record that covers them
    Given a claims reader that starts at offset 10
    When it reads undated keys remembered up to offset 8
    Then it does not know all undated keys
    When it reads undated keys remembered up to offset 9
    Then it knows all undated keys

  Scenario: A reader whose records were dropped unread no longer knows undated keys
    Given a claims reader that starts at offset 0
    When the records before offset 5 are dropped unread
    Then it does not know all undated keys

  Scenario: An undated key stays closed when its state is dropped
    Given a claims reader that starts at offset 0
    When it reads an undated claim and the retention passes
    Then the key is closed there

  Scenario Outline: A key is refused when its date lies outside the window
    Then a UUIDv7 key made <age> s ago is <answer> in a window of 100 s

    Examples:
      | age  | answer   |
      | 99   | accepted |
      | 101  | refused  |
      | -99  | accepted |
      | -101 | refused  |
