Feature: An upstream that is leaving gets no new work

  Scenario: the engine says itself that it drains, the list lags
    Given a deployment of 3 hosts, 2 engines and 1 service
    And a host list that lags by 10 s
    And a steady load of tags
    When engine 1 drains
    And 2 s have passed since a host knew of engine 1
    Then engine 1 gets no new work while 30 more tags are answered
    And no call of the load was told falsely
    And every call of the load was told "whole"

  Scenario: only the host list says that the engine leaves
    Given a deployment of 3 hosts, 2 engines and 1 service
    And a steady load of tags
    When the host list says that engine 1 is leaving
    And 2 s have passed since a host knew of engine 1
    Then engine 1 gets no new work while 30 more tags are answered
    And no call of the load was told falsely
    And every call of the load was told "whole"

  Scenario: only one host can read the host list
    Given a deployment of 3 hosts, 2 engines and 1 service
    And hosts 2 and 3 are cut from the list
    And a steady load of tags
    When the host list says that engine 1 is leaving
    And 2 s have passed since a host knew of engine 1
    Then engine 1 gets no new work while 30 more tags are answered
