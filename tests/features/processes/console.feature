@demo_system
Feature: Operators change the configuration in the web console

  Scenario: A draft is edited, validated and published
    Given a console draft based on the active version
    When the operator adds the workspace "new-shop" with the service "orders"
    And the operator publishes the draft as "Kari"
    Then the next version, with the workspace "new-shop", is active at both entries

  Scenario: The status page shows changes with their authors
    Given a console draft based on the active version
    When the operator adds the workspace "audited-shop" with the service "orders"
    And the operator publishes the draft as "Ingrid"
    Then the status page of each entry shows the change by "Ingrid"

  Scenario Outline: An invalid form shows the field's error and keeps the draft: <field>
    Given a console draft based on the active version
    When the operator saves a <collection> form with <field> set to <value>
    Then the form shows an error at <field> and the draft is unchanged

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

  Scenario: An invalid reference between items is shown and blocks publishing
    Given a console draft based on the active version
    When the operator adds the workspace "lost-shop" with the service "nothing-there"
    Then the draft shows an error that contains "nothing-there"
    And publishing the draft fails

  Scenario: A version conflict shows the other operator's changes and keeps the draft
    Given a console draft based on the active version
    And another operator has meanwhile published the workspace "winner"
    When the operator adds the workspace "loser" with the service "orders"
    And the operator publishes the draft as "Kari"
    Then the console reports the other operator's change of "winner"
    And the draft still has the workspace "loser" and can be rebased

  Scenario Outline: Unauthenticated and forged posts change nothing: <post>
    Given a console draft based on the active version
    When the draft is published by a post <post>
    Then the console answers 401 and the active version is unchanged

    Examples:
      | post                        |
      | without the token           |
      | without the CSRF token      |
      | from another site           |
      | with another origin         |

  Scenario: Values from operators are escaped in HTML
    Given a console draft based on the active version
    When the operator adds a workspace with the display name "<script>alert(1)</script>"
    Then no page of the console contains that script unescaped
