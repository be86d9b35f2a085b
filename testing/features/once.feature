Feature: A non-idempotent request runs at most once

  Scenario: The same key arrives at two VMs at once
    Given 2 entry VMs in antigua
    When one booking is sent to both VMs at once, 10 times
    Then nothing ran twice
    And every caller got its own complete answer or a true outcome

  Scenario: The answer to the claim is lost
    Given 2 entry VMs in antigua
    When the store loses its next answer
    And valle-cafe sends a booking
    Then nothing ran twice
    And every caller got its own complete answer or a true outcome

  Scenario: The VM is killed during the request and the caller retries on another
    Given 2 entry VMs in antigua
    And executors take 1 second
    When a booking's VM is killed while it runs and the caller tries again
    Then nothing ran twice
    And every caller got its own complete answer or a true outcome

  Scenario: The VM restarts while the store loses answers
    Given 2 entry VMs in antigua
    When valle-cafe sends a booking
    And the store loses its next answer
    And an entry VM is replaced
    And valle-cafe sends the same booking again
    Then nothing ran twice
