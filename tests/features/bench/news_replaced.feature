Feature: Configurations while a log is restored that may not tell of it

  # The modules of the product on virtual clocks, datagrams and a virtual log. Restores,
  # outages, frozen, refused and restarted entries are drawn, with long stretches without a
  # new version. The operators write lost versions again, or others under their numbers.

  # Guards against an entry that takes a read which finds nothing for a proof: the next
  # version would hide what it has missed.
  Scenario Outline: <entries> entries, seed <seed>
    When <entries> entries play the drawn restores of seed <seed>
    Then the newest version is in force in time or not used, and none comes back

    Examples:
      | entries | seed |
      | 7       | 1    |
      | 7       | 2    |
      | 7       | 4    |
      | 7       | 6    |
      | 7       | 9    |
      | 7       | 11   |
      | 21      | 1    |
      | 21      | 3    |
