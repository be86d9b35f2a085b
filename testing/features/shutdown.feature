Feature: A graceful shutdown cuts no request in flight

  Scenario: A VM is asked to stop under load
    Given 2 entry VMs in antigua
    And executors take 1 second
    When a VM is asked to stop while 6 bookings are in flight
    Then every request in flight was answered with its own answer
    And nothing ran twice

  Scenario: A VM is asked to stop while the store is unavailable
    Given 2 entry VMs in antigua
    And executors take 1 second
    When the store becomes unavailable
    And a VM is asked to stop while 6 booking checks are in flight
    Then every request in flight was answered with its own answer
