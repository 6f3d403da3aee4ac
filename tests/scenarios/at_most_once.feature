Feature: What may not be repeated runs at most once

  Background:
    Given a deployment of 3 hosts, 2 engines and 1 service

  Scenario: a retry at another host while the first attempt runs
    Given services that take 500 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And the refund is sent again to host 2
    Then both attempts at the refund are told "whole"
    And the refund ran once

  Scenario: a retry at another host after the answer
    When a refund is sent to host 1
    Then the refund is told "whole"
    When the refund is sent again to host 3
    Then both attempts at the refund are told "whole"
    And the refund ran once

  Scenario: the home is killed while the request runs
    Given services that take 500 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And host 1 is killed
    And the refund is sent again to host 2
    Then the last attempt at the refund is told "unknown"
    And the refund ran once

  Scenario: the home is frozen, the caller asks elsewhere, the home wakes
    Given services that take 500 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And host 1 is frozen
    And the refund is sent again to host 2
    Then the last attempt at the refund is told "unknown"
    When host 1 is thawed
    Then the first attempt at the refund is told "whole" or "unknown"
    And the refund ran once

  Scenario: the home is frozen before it dispatches
    When host 1 is frozen
    And a refund is sent to host 1
    And the refund is sent again to host 2
    Then the last attempt at the refund is told "unknown"
    When host 1 is thawed
    And the refund is sent again to host 3
    Then the refund ran at most once

  Scenario: the home shuts down and hands its keys over
    When a refund is sent to host 1
    Then the refund is told "whole"
    When host 1 is shut down
    And the refund is sent again to host 2
    Then the last attempt at the refund is told "whole"
    And the refund ran once

  Scenario: the home shuts down while the request runs
    Given services that take 1800 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And host 1 is told to shut down
    And the refund is sent again to host 2
    Then both attempts at the refund are told "whole"
    And the refund ran once

  Scenario: the home is killed while it shuts down
    Given services that take 500 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And host 1 is told to shut down
    And host 1 is killed
    And the refund is sent again to host 2
    Then the last attempt at the refund is told "unknown"
    And the refund ran once

  Scenario: the upstream answer is lost
    Given services that lose the answer
    When a refund is sent to host 1
    Then the refund is told "unknown"
    When the refund is sent again to host 2
    Then the last attempt at the refund is told "unknown"
    And the refund ran once

  Scenario: the upstream is killed while the request runs
    Given services that take 500 ms
    When a refund is sent to host 1
    And the refund runs on a service
    And the service of the refund is killed
    Then the refund is told "unknown"
    And the refund ran once

  Scenario: the log is down
    Given the log is down
    When a refund is sent to host 1
    Then the refund is told "whole"
    And the refund ran once

  Scenario: a key without a home, while the log is down
    Given the log is down
    When a refund without a home is sent to host 1
    Then the refund is told "refused"
    And the refund says when to come back
    And the refund never ran
    When the log is up
    And the caller comes back to host 1 as it is told to
    Then the last attempt at the refund is told "whole"
    And the refund ran once

  Scenario: a key without a home at every host at once
    Given services that take 500 ms
    When a refund without a home is sent to every host
    Then every attempt at the refund is told "whole"
    And the refund ran once

  Scenario: a key without a home while the log loses its answers
    Given a log that loses the answers of appends
    When a refund without a home is sent to every host
    Then every attempt at the refund is told "whole", "unknown" or "refused"
    And no attempt at the refund was told falsely

  Scenario: a key without a home while the log is slow
    Given a log that answers after 600 ms
    When a refund without a home is sent to every host
    Then every attempt at the refund is told "whole"
    And the refund ran once

  Scenario: the caller's library hears nothing and its host is killed
    Given services that take 200 ms
    When a caller asks for a lookup
    Then the lookup is told "whole"
    When the answers of every host to callers stall
    And a caller asks for a refund
    And the refund runs on a service
    And the host of the refund is killed
    And the caller of the refund has tried 3 times
    And the answers of every host to callers pass again
    Then the refund is told "unknown"
    And the refund ran once
