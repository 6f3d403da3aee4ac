Feature: A graceful shutdown cuts nothing off

  Scenario: a host shuts down with streams in flight
    Given engines that decode a token every 20 ms
    And a deployment of 3 hosts, 2 engines and 1 service
    When 9 callers ask for a report each
    And each report has begun
    And host 1 is shut down
    Then every call is told "whole"
    And every caller got the whole answer to its own request
    And host 1 ended cleanly

  Scenario: every host is replaced in turn under load
    Given engines that decode a token every 20 ms
    And a deployment of 3 hosts, 2 engines and 1 service
    And a steady load of every kind from callers that keep old addresses
    When every host is replaced in turn
    And the load ends
    Then every call of the load was told "whole"
    And every caller got the whole answer to its own request
    And no refund and no tag ran twice
