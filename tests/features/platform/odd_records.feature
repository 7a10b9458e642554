@platform_system
Feature: Records that other programs write stop nobody from reading the others

  # Guards against a single record that ends entries, or that makes each read fail at the
  # same place: nested too deeply, with a number too large or a port out of range.
  Scenario: Odd records among those of runners, entries, quarantines and configurations
    Given 20 odd records in each topic that entries read
    When a runner is added, another reports that it leaves, and a route is added
    Then within 2 s both entries use the new runner and route, and not the one that leaves
    And no entry has ended, and each logs each odd record at most once
    When the entries are started again
    Then both entries use the new runner and route, and not the one that leaves

  Scenario: Odd datagrams among those of entries
    When odd datagrams arrive at entry 1
    Then both entries list each other, and entry 1 logs the faults

  # Guards against a whole list of instances that is unreadable because of one of them.
  Scenario: Odd instances in the platform's list
    Given a list of instances, each of 20 odd ones between two sound ones
    Then all sound ones are read, and no odd one
