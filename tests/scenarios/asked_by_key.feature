Feature: Upstreams that tell by key what became of a request

  Scenario: a service runs a refund and its answer is lost
    Given services that tell by key
    And a deployment of 3 hosts, 2 engines and 1 service
    And services that lose the answer
    When a refund is sent to host 1
    Then the refund is told "whole"
    And the refund ran once

  Scenario: an engine runs a tag and its answer is lost
    Given a deployment of 3 hosts, 2 engines and 1 service
    And engines that run requests and lose the answer
    When a caller asks for a tag
    Then the tag is told "whole"
    And the tokens of the tag came once, in order, from one generation
    And the tag ran once

  Scenario: the connections to a service go silent
    Given services that tell by key
    And a deployment of 3 hosts, 2 engines and 1 service
    And services that take 800 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And the open connections to the service go silent
    Then the refund is told "whole"
    And the refund ran once
