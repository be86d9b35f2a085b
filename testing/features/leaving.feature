Feature: An endpoint that is leaving receives no new work

  Scenario: The platform lists an executor as leaving
    Given 1 entry VM in antigua
    When the platform lists one executor as leaving
    And the VMs have read the list
    And 20 booking checks are sent
    Then the leaving executor got none of them
    And every booking check ran

  Scenario: The executor itself signals it before the platform lists it
    Given 1 entry VM in antigua
    When one executor signals that it is leaving
    And 20 booking checks are sent
    Then the leaving executor got few of them
    And every booking check ran

  Scenario: The list of VMs becomes empty
    Given 1 entry VM in antigua
    When the platform lists nothing
    And the VMs have read the list
    And 20 booking checks are sent
    Then every booking check ran
