Feature: TLS for callers and between processes

  Scenario: Only TLS callers, and peers with a certificate of the authority, are served
    Given a running system with TLS for callers and between processes
    When a caller that trusts the authority sends a chat completion
    Then the caller gets its complete answer over TLS
    And an agent sends nothing to a peer without a certificate
    And a caller without TLS gets no response

  Scenario: A renewed certificate is used after SIGHUP and open connections continue
    Given a running system with TLS for callers and between processes
    When the entry's certificate is replaced and the entry gets SIGHUP
    Then new connections get the new certificate
    And a connection that was opened before is still served

  Scenario: With an unreadable certificate, SIGHUP keeps the old one and check-settings fails
    Given a running system with TLS for callers and between processes
    When the entry's certificate is damaged and the entry gets SIGHUP
    Then new connections get the old certificate
    And check-settings reports the damaged certificate
