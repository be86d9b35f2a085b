Feature: A client account's guaranteed shape can always be reclaimed

  Scenario: Another account's work fills the racks
    Given 2 entry VMs in antigua
    And a borrower fills antigua
    When valle-cafe asks for its guaranteed shape
    Then the guaranteed job finishes
    And the borrower was preempted for it

  Scenario: The borrower ignores the order to checkpoint
    Given 2 entry VMs in antigua
    And a borrower fills antigua
    And the workers of antigua ignore orders to checkpoint
    When valle-cafe asks for its guaranteed shape
    Then the guaranteed job finishes

  Scenario: The VM that schedules is killed during the reclaim
    Given 2 entry VMs in antigua
    And a borrower fills antigua
    When valle-cafe asks for its guaranteed shape
    And the VM that schedules antigua is killed
    Then the guaranteed job finishes

  Scenario: The store is unavailable and the VM that schedules is frozen
    Given 2 entry VMs in antigua
    And a borrower fills antigua
    When valle-cafe asks for its guaranteed shape
    And the VM that schedules antigua is frozen
    And the store is unavailable for 2 seconds
    And another VM takes over
    And the frozen VM resumes
    Then the guaranteed job finishes
