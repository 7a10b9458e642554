Feature: An entry is told of a newer configuration by nothing but the newest record

  # A configuration must be in force within 2 s, or its requests get 503. The log is calm
  # again when the version is written. Calls are those of three entries.

  # Guards against an entry that takes a read which found nothing for a proof, as the era
  # of a restored log is not stated, or in another way than at first.
  Scenario Outline: The restored log states its era <stated>, and is <length> again
    Given three entries, and versions that the log's copy lacks
    When the log is restored, states its era <stated>, and is <length> again with a new version
    Then within 2 s each entry has the new version in force or answers 503
    And each entry has it in force in the end

    Examples:
      | stated                       | length   |
      | under another name           | longer   |
      | not at all                   | longer   |
      | not at all                   | as long  |
      | not at all                   | shorter  |
      | only with all newest records | longer   |
      | 3 s late                     | longer   |

  # Guards against a version that is given up because of one value: the entry kept the older
  # one, and confirmed it.
  Scenario Outline: A version in which <part> cannot be read
    Given three entries
    When a version is published in which <part> cannot be read
    Then within 2 s each entry has the new version in force or answers 503
    And each entry has it in force in the end
    And each entry refuses <refused> as not run, and logs the version once

    Examples:
      | part                        | refused           |
      | the Split of a route        | nothing           |
      | the ApiKeys of a workspace  | nothing           |
      | the Kind of a route         | the route         |
      | the Attempts of a route     | the route         |
      | the PathPrefix of a route   | the route         |
      | a whole route               | the route         |
      | a whole workspace           | its key           |
      | an API key                  | its key           |

  # Guards against an older version that is confirmed as the newest because the newest one
  # cannot be read.
  Scenario: A version that cannot be read at all
    Given three entries
    When a version is published that cannot be read at all
    Then within 2 s each entry answers 503 for unknown routes and unknown keys
    And within 5 s each entry answers 503 for all requests with a key, and says why
    And each entry serves them again after the version before is written again

  # Guards against entries that tell versions apart by their numbers only.
  Scenario Outline: A new version gets <number> after the log was restored
    Given three entries, and versions that the log's copy lacks
    When the log is restored, and a new version gets <number>
    Then within 2 s each entry has the new version in force or answers 503
    And each entry has it in force in the end

    Examples:
      | number                       |
      | the number of a lost version |
      | a lower number than those    |

  # Guards against an older configuration that comes back with the copy, while the operators
  # write the lost versions again one after the other. An entry that has not read all of them
  # cannot tell an older version from one written later, and may answer 503.
  Scenario Outline: The lost versions are written again, and the entries <know>
    Given three entries that <know>, no era, and versions that the copy lacks
    When the log is restored, and the lost versions are written again
    Then no entry ever uses an older version, nor answers 503 if it read all

    Examples:
      | know                      |
      | have read all of them     |
      | have read the last of all |

  # Guards against an entry that goes on behind a record which it has not read.
  Scenario: The newest records lag behind their end after the history was dropped
    Given three entries
    When a version is written, the history is dropped, and for 3 s the newest records lag
    Then within 2 s each entry has the new version in force or answers 503
    And each entry has it in force in the end

  # Guards against the report of a leaving runner that stands before the position of an
  # entry, after a restore that no header states.
  Scenario: A runner leaves after a restore that no header states
    Given three entries, and reports of runners that the log's copy lacks
    When the log is restored without an era, a runner leaves, and the others go on writing
    Then within 2 s no request reaches the leaving runner any more

  # Guards against a quarantine that is lost for good by a restore that no header states.
  Scenario: A quarantine is lost by a restore that no header states
    Given three entries, and a quarantine that the log's copy lacks
    When the log is restored without an era, and others write quarantines
    Then within 12 s the log holds the quarantine again

  # Guards against entries that stop reading because some answers state no era.
  Scenario: Some answers state the era, and others do not
    Given three entries
    When the log states its era only with all newest records, and a version is published
    Then within 2 s each entry has the new version in force or answers 503
    And each entry has it in force in the end
