Feature: The active configuration

  Scenario: Versions never decrease, and all readers and operators get the same outcomes
    When the configuration machine runs 500 examples of up to 30 steps
    Then the configuration machine found no violated invariant

  Scenario: A late reader starts from a refresh record and reaches the same verdicts
    Given a configuration stream with versions 1 to 3, a refresh as of 1 and a stale edit
    When a reader starts at the third record
    Then that reader holds version 3 and has rejected the stale edit

  Scenario: A reader that may have missed a version ignores a stale refresh record
    Given a configuration stream with versions 1 to 3, a refresh as of 1 and a stale edit
    When a reader starts at the fourth record
    Then that reader holds no version and validates no record

  Scenario: An older version from a peer is ignored
    Given a configuration reader that holds version 3
    When a peer sends that reader version 2
    Then that reader still holds version 3

  Scenario Outline: Malformed records are detected
    Then a configuration record of <bytes> is malformed

    Examples:
      | bytes                            |
      | nothing                          |
      | invalid JSON                     |
      | compressed invalid JSON          |
      | a truncated record               |
      | 17 compressed MB                 |
      | a document with an unknown field |

  Scenario: Records can be read from their encoding and from plain JSON
    Then a configuration record is decoded from its encoding and from plain JSON
