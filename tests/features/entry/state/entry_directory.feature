Feature: Entries that are listed to a caller

  Scenario Outline: Entries of the caller's zone come first: at most <limit> of <entries>
    Given <entries> entries spread over 3 zones
    When 200 callers of zone "a" request up to <limit> entries
    Then each caller gets <named> entries, those of its zone first
    And each caller gets at least one entry of another zone
    And the entries listed first are spread over the zone

    Examples:
      | entries | limit | named |
      | 6       | 16    | 6     |
      | 330     | 16    | 16    |
      | 9       | 2     | 2     |

  Scenario: A leaving entry is not listed, and is listed again if it stays
    Given 6 entries spread over 3 zones
    When the entry "entry-1" is reported leaving at 10 s
    Then it is not listed at 10.5 s and is listed at 21 s
