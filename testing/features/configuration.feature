Feature: An accepted configuration takes effect on every VM and is kept

  Scenario: Two operators change the folder at once
    Given 2 entry VMs in antigua
    When two operators change the folder at once through both VMs
    Then exactly one change was accepted
    And the audit trail holds each accepted change once
    And every VM has the latest revision in force

  Scenario: The store loses the answer to an accepted change
    Given 2 entry VMs in antigua
    When the store loses its next answer
    And an operator changes the folder
    Then the audit trail holds each accepted change once
    And every VM has the latest revision in force

  Scenario: A VM restarts while the store is unavailable
    Given 2 entry VMs in antigua
    When an operator changes the folder
    And the store becomes unavailable
    And an entry VM is replaced
    Then every VM has the latest revision in force

  Scenario: A data centre is partitioned while the folder changes
    Given 1 entry VM in antigua and in chimal
    When chimal is partitioned from all others
    And an operator changes the folder
    And mostrador asks for a booking check in chimal
    And the partition of chimal ends
    Then every VM has the latest revision in force
    And every caller got its own complete answer or a true outcome

  Scenario: A watch misses the event of a change
    Given 2 entry VMs in antigua
    When the store drops its next events
    And an operator changes the folder
    Then every VM has the latest revision in force
