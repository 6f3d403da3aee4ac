Feature: Each token once, in order, from one generation

  Scenario: the connections to the engine go silent for good
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the open connections to the engine of the report go silent
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: the connections to the engine go silent twice
    Given engines that decode a token every 40 ms
    And a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the open connections to the engine of the report go silent
    And 40 tokens of the report have arrived
    And the open connections to the engine of the report go silent
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: the link to the engine is cut and comes back
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the link to the engine of the report is cut
    And the caller's host has noticed
    And the link to the engine of the report is restored
    Then the report is told "whole" or "failed"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: the link to the engine stalls and goes on
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the link to the engine of the report stalls for 1000 ms
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: the engine is killed before the first token
    Given a deployment of 3 hosts, 2 engines and 1 service
    And engines that hold the first token back
    When a caller asks for a report
    And the report runs on an engine
    And the engine of the report is killed
    And the engines hold nothing back
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation

  Scenario: the engine is killed before the first token of a tag
    Given a deployment of 3 hosts, 2 engines and 1 service
    And engines that hold the first token back
    When a caller asks for a tag
    And the tag runs on an engine
    And the engine of the tag is killed
    And the engines hold nothing back
    Then the tag is told "unknown" or "failed"
    And the tag ran once

  Scenario: the engine is killed after the first token
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the engine of the report is killed
    Then the report is told "failed"
    And the tokens of the report came once, in order, from one generation

  Scenario: a deterministic engine is killed after the first token
    Given engines that are deterministic
    And a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the engine of the report is killed
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation

  Scenario: an engine that is wrongly declared deterministic
    Given engines that are wrongly declared deterministic
    And a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the engine of the report is killed
    Then the report is told "failed"
    And the tokens of the report came once, in order, from one generation

  Scenario: frames come twice and late
    Given a deployment of 3 hosts, 2 engines and 1 service
    And engines that send frames twice
    When a caller asks for a report
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: an engine is reclaimed at short notice
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the engine of the report is reclaimed
    Then the report is told "failed"
    And the tokens of the report came once, in order, from one generation

  Scenario: the memory of an engine fills while it decodes
    Given engines with little memory
    And a deployment of 3 hosts, 1 engine and 1 service
    When 8 callers ask for a report each
    Then every report is told "whole" or "refused"
    And every caller got the whole answer to its own request
    And nothing that was refused ran

  Scenario: the host is killed and the caller moves to another
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the host of the report is killed
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: the host is frozen and the caller moves to another
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the host of the report is frozen
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once
    When the host of the report is thawed
    Then the report ran once

  Scenario: the connections to the host go silent for good
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the open connections to the host of the report go silent
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once

  Scenario: the connections go silent and the host is killed
    Given a deployment of 3 hosts, 2 engines and 1 service
    When a caller asks for a report
    And 5 tokens of the report have arrived
    And the open connections to the engine of the report go silent
    And the host of the report is killed
    Then the report is told "whole"
    And the tokens of the report came once, in order, from one generation
    And the report ran once
