Feature: The calls to ranks do not grow with the number of entries

  # Guards against entries that all ask every rank for its group: 98 entries before 192
  # ranks asked 125,000 times in 50 s, which opened more connections than the runners take.
  Scenario Outline: Many entries run balancers for one group
    Given <entries> entries that balance a group of 4 ranks
    When all of them become ready at once and run for 5 s
    Then 2 entries know the group
    And the entries have asked each rank at most <reports> times
    When the first entry is killed and the others run for 3 s
    Then the next entry has taken over
    And 2 entries know the group

    Examples:
      | entries | reports |
      | 3       | 12      |
      | 41      | 12      |
