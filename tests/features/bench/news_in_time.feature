Feature: Configurations are in force in time at any number of entries

  # The modules of the product on virtual clocks, datagrams and a virtual log. The bounds
  # are those of installations with as many entries, from the moment of publication.

  # Guards against an age of the configuration that is bounded by the use of revoked keys
  # only: the sum of poll periods, repeated questions and own reads may be longer than the
  # time in which a configuration must be in force.
  Scenario Outline: <entries> entries, and <who> <fails> as a configuration is published
    Given <entries> entries in <zones> zones that know each other
    When <who> <fails>, and a configuration is published 0.3 s later
    Then it is active at all others within <seconds> s

    Examples:
      | entries | zones | who                 | fails                 | seconds |
      | 41      | 3     | the reader          | is killed             | 3       |
      | 41      | 3     | the reader          | freezes for 6 s       | 3       |
      | 41      | 3     | the reader          | is cut off            | 3       |
      | 41      | 3     | the reader          | is refused by the log | 3       |
      | 41      | 3     | a zone's first      | is killed             | 3       |
      | 41      | 3     | a zone's first      | freezes for 6 s       | 3       |
      | 98      | 5     | the reader          | is killed             | 4       |
      | 98      | 5     | a zone's first      | freezes for 6 s       | 4       |
