Feature: The platform's names and formats are decoded once, and faults are named

  Scenario Outline: A settings file with <fault>
    When the platform's settings have <fault>
    Then reading them names <key> and a remedy

    Examples:
      | fault                       | key           |
      | no Node                     | Node          |
      | no Listen.Front             | Listen.Front  |
      | Listen.Front without a port | Listen.Front  |
      | no Platform.Addr            | Platform.Addr |
      | Bounds.GraceS as a word     | Bounds.GraceS |
      | no PortRange                | PortRange     |

  Scenario: All faults of a settings file are reported at once
    When the platform's settings are empty
    Then reading them names Node, Ip, Zone, Listen.Front, Listen.Ready, PortRange, Platform.Addr and a remedy

  Scenario: Settings that are not known are passed over
    When the platform's settings have new fields
    Then they are read

  Scenario: The command line checks the settings
    Then "check-settings" exits with 0 for sound settings and 1 for settings without Node

  Scenario: A configuration document
    Given a configuration document with each kind of route, a split and two workspaces
    Then routes are found by host and longest prefix
    And the kinds say what may be repeated
    And keys show their workspaces
    And a split route draws its services by weight

  Scenario Outline: A record of a runner: <record>
    Then the record <record> names <what>

    Examples:
      | record                                                                                   | what      |
      | {"Service":"s","Addr":"10.0.0.1:80","Zone":"a","Slots":6,"State":"ready","born":5}       | a runner  |
      | {"Service":"s","Addr":"10.0.0.1:80","Zone":"a","Slots":6,"State":"draining"}             | a leaving runner |
      | {"Service":"s","Addr":"10.0.0.1:80","Zone":"a","Slots":6,"State":"ready","New":[1]}      | a runner  |
      | {"Service":"s","Addr":"10.0.0.1","Zone":"a","Slots":6,"State":"ready"}                   | no runner |
      | {"Service":"s","Addr":"10.0.0.1:80","Zone":"a","Slots":"6","State":"ready"}              | no runner |
      | {"Service":"s","Addr":"10.0.0.1:80","Zone":"a","Slots":6,"State":"READY"}                | no runner |
      | {"Service":"s","Addr":"10.0.0.1:80","Zone":"a","Slots":6                                 | no runner |
      | null                                                                                     | no runner |

  Scenario: Headers towards a runner
    When a caller's headers name a key, a workspace, a runner and a deadline of its own
    Then the runner gets the entry's runner, workspace and time left, and no key
    And figures that are no numbers count as absent

  Scenario: Orders to ranks
    Then each order to a rank is encoded as the platform spells it

  Scenario: News between entries
    Then news are the same after they were sent
    And 300 malformed datagrams are told from news

  Scenario: Platform's names stand in the adapter only
    Then no name of the platform stands in the packages
    And the played libraries have the pinned versions
