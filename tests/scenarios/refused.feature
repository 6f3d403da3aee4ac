Feature: What was refused never ran

  Scenario: every engine keeps requests out
    Given a preset that waits a second at most
    And a deployment of 3 hosts, 2 engines and 1 service
    And engines that refuse everything
    When 12 callers ask for a tag each
    Then every tag is told "refused"
    And every refusal says when to come back
    And nothing that was refused ran

  Scenario: a crowd before one small engine
    Given engines with little memory
    And engines whose queue is short
    And a preset whose queue is short
    And a deployment of 3 hosts, 1 engine and 1 service
    When 40 callers ask for a tag each
    Then every tag is told "whole" or "refused"
    And at least 1 call is told "refused"
    And at least 1 call is told "whole"
    And every refusal says when to come back
    And nothing that was refused ran
    And every caller got the whole answer to its own request

  Scenario: no engine can be reached
    Given a preset that waits a second at most
    And a deployment of 3 hosts, 2 engines and 1 service
    When every engine is killed
    And 6 callers ask for a tag each
    Then every tag is told "refused"
    And nothing that was refused ran
