@crashing_runners
Feature: A part of prompts that crashes runners is stopped by all entries together

  # Guards against a prompt part that ends runner after runner in requests that are
  # otherwise all different.
  Scenario: Requests with the part come at every entry, sound ones beside them
    Given 6 runners that reset connections for 2 s after a crash, and then serve under a new id
    And prompts with part d1 crash runners
    When 32 requests with part d1 come 0.5 s apart, at each entry in turn, and sound ones beside them
    Then it has crashed at most 5 runners
    And at most 3 requests with it reached runners later than 3 s after the fifth crash
    And from 2 windows after the last crash, 0.9 of the sound requests are served

  # Guards against two such parts of which each hides the other.
  Scenario: Two parts crash runners
    Given 6 runners that reset connections for 2 s after a crash, and then serve under a new id
    And prompts with part d1 or d2 crash runners
    When 40 requests with part d1 or d2 come 0.5 s apart, at each entry in turn, and sound ones beside them
    Then it has crashed at most 10 runners
    And from 2 windows after the last crash, 0.9 of the sound requests are served
