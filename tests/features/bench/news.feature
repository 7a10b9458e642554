Feature: What entries tell each other and ask of the platform's log, by number of entries

  # The modules of the product on virtual clocks, datagrams and a virtual log.

  # Guards against calls that grow with the number of entries: 98 entries that each read
  # for themselves made 150 calls a second on a calm day.
  Scenario Outline: Entries share what one of them reads
    Given <entries> entries in <zones> zones that know each other
    When they run for 8 s
    Then they have called the log at most <calls> times
    And no configuration was confirmed longer ago than 2.9 s at any of them
    And no runners' records were confirmed longer ago than 2.7 s at any of them
    And each sent at most <bytes> B a second to other zones

    Examples:
      | entries | zones | calls | bytes |
      | 15      | 5     | 24    | 2500  |
      | 41      | 3     | 32    | 1500  |

  # Guards against news that wait behind others: with one datagram after the other to all
  # peers, 98 entries heard of each other every 0.8 s and missed a dead one after 3.1 s.
  Scenario Outline: An entry is killed
    Given <entries> entries in <zones> zones that know each other
    When the entry at position <position> is killed
    Then no entry takes it for alive after 1.7 s

    Examples:
      | entries | zones | position |
      | 15      | 5     | 0        |
      | 41      | 3     | 0        |
      | 41      | 3     | 7        |

  # The entry that reads for all fails. Keys are trusted for 4.7 s after a confirmation,
  # and a runner that leaves must be known within 4 s.
  Scenario Outline: The reader of the log fails
    Given 21 entries in 3 zones that know each other
    When the reader <fails>
    Then all others stay confirmed for 8 s, configurations within 4 s, runners within 3.6 s
    And a runner that leaves is known to all others within 4 s
    And a configuration that is published is active at all others within 4 s

    Examples:
      | fails                   |
      | is killed               |
      | freezes for 6 s         |
      | is cut off              |
      | is refused by the log   |

  # A reader that wakes, and an entry that wakes with datagrams of before, must not take
  # what they know for newer than it is.
  Scenario Outline: An entry wakes after it was suspended
    Given 21 entries in 3 zones that know each other
    When an entry, <who>, freezes for 6 s and a configuration is published meanwhile
    Then no entry ever believes a confirmation of the old configuration after its end

    Examples:
      | who        |
      | the reader |
      | another    |
      | a relay    |

  Scenario: The log refuses the entries of one zone
    Given 21 entries in 3 zones that know each other
    When the log refuses a third of the entries for 6 s
    Then all others stay confirmed for 8 s, configurations within 4 s, runners within 3.6 s
    And a configuration that is published is active at all others within 4 s

  # Offsets may be given out again: a follower that keeps its offset would miss records.
  Scenario: The log loses its history and starts over at lower offsets
    Given 21 entries in 3 zones that know each other
    When the log forgets its records of runners
    Then a runner that leaves is known to all others within 4 s

  Scenario: The log is away, and an entry that lapsed returns
    Given 21 entries in 3 zones that know each other
    When the log is down for 3 s, and loses the record of a runner for 1.5 s after that
    Then no entry has removed the runner

  # Guards against an entry that goes on at its old offset, which now names other records:
  # only the entry that reads sees that the log has lost some.
  Scenario: The log gives out the same offsets again
    Given 21 entries in 3 zones that know each other
    When the log forgets its records, and gives out the offsets up to the old end again
    Then no entry knows the runner that was removed meanwhile
