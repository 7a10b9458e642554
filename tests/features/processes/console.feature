@demo_system
Feature: Operators change the configuration through the console of forms

  Scenario: A draft is made, checked on every step, reviewed and published
    Given a console draft started from the version in force
    When the operator adds the workspace "new-shop" with the service "orders"
    And the operator publishes the draft as "Kari"
    Then both entries have a later version with the workspace "new-shop" in force

  Scenario: The status page names who changed what
    Given a console draft started from the version in force
    When the operator adds the workspace "audited-shop" with the service "orders"
    And the operator publishes the draft as "Ingrid"
    Then the status page of each entry names the change by "Ingrid"

  Scenario Outline: A faulty form names the field and keeps the draft: <field>
    Given a console draft started from the version in force
    When the operator saves a <collection> form with <field> set to <value>
    Then the form shows a fault at <field> and the draft is unchanged

    Examples:
      | collection | field          | value              |
      | workspaces | name           | Not A Name         |
      | workspaces | key_digests    | short              |
      | workspaces | services       | (empty)            |
      | services   | timeout_s      | -1                 |
      | services   | timeout_s      | soon               |
      | groups     | ranks          | 0                  |
      | groups     | slots_per_rank | 2.5                |
      | groups     | shares         | guaranteed 1.5     |

  Scenario: A fault between two items shows on the draft and stops its publication
    Given a console draft started from the version in force
    When the operator adds the workspace "lost-shop" with the service "nothing-there"
    Then the draft shows the fault "nothing-there"
    And publishing the draft is refused

  Scenario: A lost race shows the other's changes and keeps the draft
    Given a console draft started from the version in force
    And another operator has meanwhile published the workspace "winner"
    When the operator adds the workspace "loser" with the service "orders"
    And the operator publishes the draft as "Kari"
    Then the console says that "winner" was changed by the other operator
    And the draft still has the workspace "loser" and can be based on the new version

  Scenario Outline: What is not the operator's own form changes nothing: <post>
    Given a console draft started from the version in force
    When the draft is published <post>
    Then the console answers 401 and the version in force stays

    Examples:
      | post                        |
      | without the token           |
      | without the form's own mark |
      | from another site           |
      | with another origin         |

  Scenario: What operators write is escaped
    Given a console draft started from the version in force
    When the operator adds a workspace that displays "<script>alert(1)</script>"
    Then no page of the console contains that script
