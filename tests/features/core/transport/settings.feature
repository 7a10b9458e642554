Feature: check-settings reports all faults of a settings file

  Scenario: Valid settings pass the check
    When the entry's settings are checked unchanged
    Then the check exits with 0 and prints "settings are valid"

  Scenario Outline: An invalid value in the entry's settings: <path>
    When the entry's settings are checked with <path> set to <value>
    Then the check exits with 1 and reports the fault <fault>

    Examples:
      | path                      | value        | fault                                   |
      | instance_id               | 7            | $.instance_id: 7 is not of type         |
      | instance_id               | "no spaces"  | $.instance_id: 'no spaces' does not match |
      | zone                      | (removed)    | $.zone: missing; add this key           |
      | callers.port              | 70000        | $.callers.port: 70000 is greater        |
      | callers.port              | "8080"       | $.callers.port: '8080' is not of type   |
      | callers.prot              | 8080         | $.callers.prot: unknown key; did you mean 'port'? |
      | callers                   | []           | $.callers: [] is not of type            |
      | operators                 | (removed)    | $.operators: missing; add this key      |
      | operators.token_file      | ""           | $.operators.token_file: ''              |
      | operators.token_file      | "/none/here" | can't be read                           |
      | platform.log_url          | "log:80"     | $.platform.log_url: 'log:80' does not match |
      | platform.instances_url    | (removed)    | $.platform.instances_url: missing       |
      | limits.body_bytes         | 0            | $.limits.body_bytes: 0 is less          |
      | limits.waiting_requests   | 1.5          | $.limits.waiting_requests: 1.5 is not   |
      | timing.heartbeat_s        | 0            | $.timing.heartbeat_s: 0 is less         |
      | timing.hartbeat_s         | 1            | $.timing.hartbeat_s: unknown key; did you mean 'heartbeat_s'? |

  Scenario: All faults are reported together
    When the entry's settings are checked with three faults
    Then the check exits with 1 and reports all three

  Scenario Outline: A settings file that is not a JSON object: <text>
    When a settings file with the text <text> is checked
    Then the check exits with 1 and reports the fault <fault>

    Examples:
      | text   | fault                  |
      | {"a":  | $: it is not JSON      |
      | []     | $: [] is not of type   |
      | null   | $: None is not of type |
