Feature: The platform restores its log from an older copy

  # The log is away for 0.4 s, returns without its last records and states a higher era.
  # The offsets of the lost records are assigned to other records.

  # Guards against an entry that goes on at its offset in the lost history: it skips the
  # version, and takes each later poll for a proof that it knows the newest.
  Scenario Outline: A version that <change> is published after a restore <when>
    Given three entries, and versions of the configuration that the log's copy lacks
    When the log is restored <when> and a version that <change> is published
    Then within 2 s that version is in force at all entries

    Examples:
      | change           | when                    |
      | adds a route     | once                    |
      | removes a route  | once                    |
      | moves a route    | once                    |
      | takes a key away | once                    |
      | adds a route     | twice within 3 s        |
      | takes a key away | twice within 3 s        |
      | adds a route     | while entry 2 is frozen |
      | takes a key away | while entry 2 is frozen |
      | adds a route     | by a silent store       |
      | takes a key away | by a silent store       |

  # Guards against a runner that is used again because the older copy still lists it, until
  # its own report is written again.
  Scenario Outline: A runner <state> before the log is restored
    Given three entries, and a runner that is <state> since the log's copy
    When the log is restored once, and the runners are silent for 2 s
    Then no request has reached that runner

    Examples:
      | state    |
      | draining |
      | removed  |

  # Guards against routes that are refused as unknown by an entry that starts before the
  # operators have written their lost version again, and against keys that it accepts.
  Scenario Outline: An entry starts while the restored log lacks a version that <change>
    Given three entries, and a version that <change> that the log's copy lacks
    When the log is restored once and entry 3 is restarted
    Then entry 3 refuses the affected request only as not run, until the version is back

    Examples:
      | change           |
      | adds a route     |
      | takes a key away |

  # Guards against records of the entries' own that are lost for good.
  Scenario: Quarantines and addresses of entries are written again
    Given three entries, and a quarantine and addresses that the log's copy lacks
    When the log is restored once
    Then within 6 s the log holds the quarantine and the addresses again

  # Guards against a request that is held again, for up to an hour, by an older copy of a
  # quarantine that was lifted.
  Scenario: A quarantine that was removed is not restored
    Given three entries, and a quarantine that was removed since the log's copy
    When the log is restored once
    Then within 6 s the log lacks the quarantine, and no entry holds its request
