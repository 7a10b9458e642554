Feature: TLS on callers' and own streams

  Scenario: Only peers with a certificate of the authority are served
    Given a running system with TLS on callers' and own streams
    When a caller that trusts the authority sends a chat completion
    Then it gets its whole answer over TLS
    And a peer without a certificate can't speak to an agent
    And a caller without TLS gets nothing

  Scenario: A renewed certificate is used after SIGHUP, and nothing is cut
    Given a running system with TLS on callers' and own streams
    When the entry's certificate is replaced and the entry gets SIGHUP
    Then new connections see the new certificate
    And a connection that was open before is still served

  Scenario: An unreadable certificate refuses the start and keeps the old one on SIGHUP
    Given a running system with TLS on callers' and own streams
    When the entry's certificate is damaged and the entry gets SIGHUP
    Then new connections see the old certificate
    And check-settings names the damaged certificate
