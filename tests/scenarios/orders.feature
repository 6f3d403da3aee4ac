Feature: Engines are brought to what the preset in force names

  Scenario: a switch to a new version under load
    Given engines that take 500 ms to load weights
    And a weight store that gives out 2 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 4 engines and 1 service
    And presets with new versions and with another model
    And a steady load of tags
    When an operator switches the engines to "version-2"
    Then all engines end at version 2 of "draft"
    And never more than one engine loaded at a time
    And the weight store was never asked over its rate
    And each engine has loaded 1 time
    And calls of the load were told an outcome while each engine loaded
    And no call of the load was told falsely
    And every call of the load was told "whole"
    And no call of the load ran on a model that its preset does not name

  Scenario Outline: an order arrives after another host has taken the lease
    Given engines that <treat> the fencing number
    And engines that take 200 ms to load weights
    And a weight store that gives out 4 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 3 engines and 1 service
    And presets with new versions and with another model
    And a gate before each engine
    When the next order to an engine is held on its way
    And an operator switches the engines to "version-2"
    And the host that sent it is frozen
    And an operator switches the engines to "version-3"
    Then another host holds the lease
    And all engines end at version 3 of "draft"
    When the held order arrives
    Then the engine <took> it
    And all engines end at version 3 of "draft"
    And <who> has repaired the engine
    When that host is thawed
    Then that host knows that it lost the lease
    And all engines stay at version 3 of "draft"
    And that host has given no order for "version-2" since

    Examples:
      | treat  | took    | who     |
      | check  | refused | no host |
      | ignore | took    | a host  |

  Scenario: the lease holder is killed in the middle of a switch
    Given engines that take 500 ms to load weights
    And a weight store that gives out 2 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 4 engines and 1 service
    And presets with new versions and with another model
    When an operator switches the engines to "version-2"
    And an engine loads
    And the host that holds the lease is killed
    Then all engines end at version 2 of "draft"
    And another host holds the lease
    And never more than one engine loaded at a time
    And the weight store was never asked over its rate
    And each engine has loaded 1 time

  Scenario: the log is down in the middle of a switch
    Given engines that take 1500 ms to load weights
    And a weight store that gives out 2 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 4 engines and 1 service
    And presets with new versions and with another model
    When an operator switches the engines to "version-2"
    And an engine loads
    And the log is down
    And no host holds the lease any more
    Then no engine gets an order while the log is down
    When the log is up
    Then all engines end at version 2 of "draft"
    And never more than one engine loaded at a time
    And the weight store was never asked over its rate

  Scenario: a switch to another model under load
    Given engines that take 300 ms to load weights
    And a weight store that gives out 4 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 3 engines and 1 service
    And presets with new versions and with another model
    And a steady load of tags
    When an operator switches the engines to "other-model"
    Then all engines end at version 1 of "other"
    And 20 more calls of the load are told "whole"
    And no call of the load was told falsely
    And every call of the load was told "whole" or "refused"
    And no call of the load ran on a model that its preset does not name

  Scenario: two lease holders are killed, one after the other
    Given engines that take 1500 ms to load weights
    And a weight store that gives out 2 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 4 engines and 1 service
    And presets with new versions and with another model
    When an operator switches the engines to "version-2"
    And an engine loads
    And the host that holds the lease is killed
    And an engine loads for another holder
    And the host that holds the lease is killed
    Then all engines end at version 2 of "draft"
    And another host holds the lease
    And never more than one engine loaded at a time
    And the weight store was never asked over its rate

  Scenario: the log loses the answers of appends during a switch
    Given engines that take 200 ms to load weights
    And a weight store that gives out 4 loads a second
    And a short lease on orders
    And a deployment of 3 hosts, 3 engines and 1 service
    And presets with new versions and with another model
    And a log that loses the answers of appends
    When an operator switches the engines to "version-2"
    Then all engines end at version 2 of "draft"
    And never more than one engine loaded at a time
    And each engine has loaded 1 time
