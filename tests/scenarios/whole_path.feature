Feature: The whole path, as separate processes

  Background:
    Given a deployment of 3 hosts, 2 engines and 1 service

  Scenario: a report arrives token by token
    When a caller asks for a report
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: a tag that may not be repeated
    When a caller asks for a tag
    Then the tag is told "whole"
    And the tokens of the tag came once, in order, from one generation
    And the tag ran once

  Scenario: a lookup on a plain service
    When a caller asks for a lookup
    Then the lookup is told "whole"
    And the lookup has its own result

  Scenario: a refund that may not be repeated
    When a caller asks for a refund
    Then the refund is told "whole"
    And the refund has its own result
    And the refund ran once

  Scenario: answers that cross each other
    When 12 callers ask for a report and a lookup each
    Then every call is told "whole"
    And every caller got the whole answer to its own request
