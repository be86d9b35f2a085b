Feature: Jobs that cannot run, cancellations and faulty workers

  Scenario: A job that can never run is refused
    Given 1 entry VM in antigua
    When a job that no worker could hold is submitted
    Then the submission is refused with the reason
    And no such job exists

  Scenario: Many jobs are cancelled at once
    Given 2 entry VMs in antigua
    And a borrower fills antigua
    When 30 jobs are submitted and all are cancelled
    Then every one of them is cancelled
    And they never held an accelerator

  Scenario: One worker fails everything it starts
    Given 1 entry VM in antigua
    And one worker of antigua fails everything
    When 6 jobs of one worker each are submitted
    Then all of them finish
