Feature: What entries tell each other after the log was restored from an older copy

  # The modules of the product on virtual clocks, datagrams and a virtual log.

  # Guards against entries that compare offsets of two histories of the log: the reader
  # starts over, but those that ask it take its offset for one of theirs. The bounds are
  # those of installations with as many entries.
  Scenario Outline: <entries> entries, and the log is restored from an older copy <when>
    Given <entries> entries in <zones> zones that know each other
    When the log is restored <when>, and a configuration and a leaving runner are written
    Then within <seconds> s all that were not disturbed have the configuration
    And within <seconds> s all that were not disturbed know that the runner leaves
    And within 6 s all others do

    Examples:
      | entries | zones | when                           | seconds |
      | 6       | 3     | once                           | 2       |
      | 6       | 3     | while the reader is frozen     | 2       |
      | 21      | 3     | once                           | 3       |
      | 21      | 3     | twice                          | 3       |
      | 21      | 3     | while the reader is frozen     | 3       |
      | 21      | 3     | while a third is refused       | 3       |
      | 98      | 5     | once                           | 4       |
      | 98      | 5     | while the reader is frozen     | 4       |

  # Guards against a burst of reads by entries that know of a version which the log lacks.
  Scenario: Entries know of a version that the log lacks
    Given 21 entries in 3 zones that know each other
    When all learn of a version that the log lacks, and run for 8 s
    Then each has called the log at most 3 times a second, and confirmed nothing

  # Guards against an entry that later ones do not find, since the log lost its address
  # before the entry had read anything else.
  Scenario: The log loses the address of an entry
    Given 6 entries in 3 zones that know each other
    When the log loses the address of an entry
    Then it has the address again within 20 s
