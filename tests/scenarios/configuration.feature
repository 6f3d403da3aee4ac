Feature: An accepted configuration is in force everywhere and stays

  Background:
    Given a deployment of 3 hosts, 1 engine and 1 service

  Scenario: two operators race
    When two operators switch at once, expecting the same generation
    Then exactly one of them is told "accepted"
    And the accepted preset is in force on every host within 2 s
    And no host went back

  Scenario: the answer to the append is lost after it took effect
    Given a log that loses the answers of appends
    When an operator switches to "peak"
    Then the operator is told "accepted"
    And the accepted preset is in force on every host within 2 s
    And no host went back

  Scenario: the log is down, then up
    When the log is down
    And a caller asks for a report
    Then the report is told "whole"
    When an operator tries to switch to "peak"
    Then the operator is not told "accepted"
    When the log is up
    And an operator switches to "maintenance"
    Then the operator is told "accepted"
    And the accepted preset is in force on every host within 10 s
    And no host went back

  Scenario: a newcomer during an outage of the log
    When an operator switches to "peak"
    Then the accepted preset is in force on every host within 2 s
    When the log is down
    And host 4 starts
    Then the accepted preset is in force on every host within 10 s
    And a refund sent to host 4 is told "whole"

  Scenario: a host that is cut from the log follows its peers
    When host 3 is cut from the log
    And an operator switches to "peak"
    Then the accepted preset is in force on every host within 10 s
    And no host went back

  Scenario: a host that was frozen follows
    When host 3 is frozen
    And an operator switches to "peak"
    And host 3 is thawed
    Then the accepted preset is in force on every host within 10 s
    And no host went back

  Scenario: a slow log
    Given a log that answers after 600 ms
    When an operator switches to "peak"
    Then the operator is told "accepted"
    And the accepted preset is in force on every host within 10 s
