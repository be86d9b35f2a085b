Feature: No part of a gang job runs unless the whole gang runs

  Scenario Outline: One worker refuses a step of the start
    Given 2 entry VMs in antigua
    And one worker of antigua refuses to <step>
    When a gang over all workers of antigua is submitted
    Then no worker holds a part of the gang
    When the worker of antigua accepts orders again
    Then the gang finishes

    Examples:
      | step    |
      | hold    |
      | start   |
      | confirm |

  Scenario: The VM that schedules is killed during a start
    Given 2 entry VMs in antigua
    When a gang over all workers of antigua is submitted
    And the VM that schedules antigua is killed
    Then the gang finishes
    And no worker holds anything

  Scenario: The VM that schedules is frozen past its lease
    Given 2 entry VMs in antigua
    When a gang over all workers of antigua is submitted
    And the VM that schedules antigua is frozen
    And another VM takes over
    And the frozen VM resumes
    Then the gang finishes
    And no worker holds anything

  Scenario: Two gangs compete for the same accelerators
    Given 2 entry VMs in antigua
    When two gangs over all workers of antigua are submitted
    Then both gangs finish
    And no worker holds anything

  Scenario: A gang ends while no VM schedules
    Given 2 entry VMs in antigua
    When a gang over all workers of antigua runs
    And every entry VM is killed
    And the workers have ended the gang
    And every entry VM is started again
    Then the gang finishes
    And no worker holds anything
