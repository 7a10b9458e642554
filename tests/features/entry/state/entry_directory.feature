Feature: Which entries a caller is told of

  Scenario Outline: The caller's zone comes first and others follow: <limit> of <entries>
    Given <entries> entries spread over 3 zones
    When 200 callers of zone "a" ask for up to <limit> entries
    Then each is told of <named> entries, those of its zone first
    And each is told of at least one entry of another zone
    And every entry of the zone is named first to some caller

    Examples:
      | entries | limit | named |
      | 6       | 16    | 6     |
      | 330     | 16    | 16    |
      | 9       | 2     | 2     |

  Scenario: An entry that leaves is not named, and is named again when it stays
    Given 6 entries spread over 3 zones
    When the entry "entry-1" is reported leaving at 10 s
    Then it is not named at 10.5 s and is named at 21 s
