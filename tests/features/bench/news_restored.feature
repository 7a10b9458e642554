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
