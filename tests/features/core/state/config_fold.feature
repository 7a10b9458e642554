Feature: The configuration in force

  Scenario: No process goes back, judges otherwise or tells an operator wrongly
    When the configuration machine runs 500 examples of up to 30 steps
    Then the configuration machine found no broken promise

  Scenario: A late reader starts from a refresh and judges as all others do
    Given a configuration stream with versions 1 to 3, a refresh as of 1 and a late edit
    When a reader starts at the third record
    Then that reader holds version 3 and has rejected the late edit

  Scenario: A stale refresh is no start for a reader who may have missed a version
    Given a configuration stream with versions 1 to 3, a refresh as of 1 and a late edit
    When a reader starts at the fourth record
    Then that reader holds no version and judges nothing

  Scenario: An older version told by a peer changes nothing
    Given a configuration reader that holds version 3
    When a peer tells that reader of version 2
    Then that reader still holds version 3

  Scenario Outline: A record that is no record is passed over by all readers
    Then a configuration record of <bytes> is malformed

    Examples:
      | bytes                  |
      | nothing                |
      | text that is no JSON   |
      | compressed text        |
      | a cut-off record       |
      | 17 compressed MB       |
      | a document with faults |

  Scenario: A record survives its encoding, and plain JSON is read as well
    Then a configuration record is the same after its encoding and as plain JSON
