Feature: The expert planner

  Scenario: With random loads every planned map is valid and saves more than it costs
    Then the planner state machine passes 400 examples of 20 steps

  Scenario: A high skew weight causes a move that a high move cost prevents
    Given a planner's group of 4 ranks with 3 slots each and 8 experts
    And the planner's load of expert 0 is 3 times that of the others
    When a planner with skew weight 8 and move cost 1 decides
    Then the planner changes the map
    When a planner with skew weight 1 and move cost 100 decides
    Then the planner keeps the map as not_worth_a_move

  Scenario: Failed predictions reduce changes until the load is stable
    Given a planner's group of 4 ranks with 3 slots each and 8 experts
    When the planner's load is drawn at random for each of 60 decisions
    Then the planner changes the map at most 6 times in the last 40 decisions
    When the planner's load becomes stable with ten times the load on expert 0
    Then the planner changes the map

  Scenario: An obsolete prediction does not block changes that suit current demand
    Given a planner's group of 3 ranks with 4 slots each and 8 experts
    And a planner with skew weight 100 and move cost 1
    When the planner's load moves to other experts after each change, 12 times
    Then the planner changes the map each time within 20 decisions

  Scenario: Ranks are relabelled so that the fewest slots move
    Then the planner bench's relabelling moves as few slots as any order of ranks
