Feature: The configuration outlives the records that brought it

  Background:
    Given a log that keeps records for 6 s
    And a deployment of 3 hosts, 1 engine and 1 service

  Scenario: every host is replaced after the records have expired
    Given a log that keeps records for 3 s
    When an operator switches to "peak"
    Then the accepted preset is in force on every host within 2 s
    When the records of the switch have expired
    And every host is replaced in turn
    Then the accepted preset is in force on every host within 10 s
    And no host went back

  Scenario: every host dies at once after the records have expired
    When an operator switches to "peak"
    Then the accepted preset is in force on every host within 2 s
    When the records of the switch have expired
    And every host is killed
    And the log's records grow no older
    And every host starts again
    Then the accepted preset is in force on every host within 10 s
    And no host went back
