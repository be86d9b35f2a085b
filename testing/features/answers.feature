Feature: A caller gets the complete answer to its own request, or a true outcome

  Scenario Outline: An executor gives a faulty answer
    Given 1 entry VM in antigua
    And the next answer of an executor is <fault>
    When mostrador asks for a booking check
    And valle-cafe sends a booking
    Then every caller got its own complete answer or a true outcome
    And nothing ran twice

    Examples:
      | fault     |
      | late      |
      | crossed   |
      | truncated |

  Scenario Outline: The connection is lost
    Given 1 entry VM in antigua
    And an executor drops the connection <moment> it runs the request
    When valle-cafe sends a booking
    Then every caller got its own complete answer or a true outcome
    And nothing ran twice

    Examples:
      | moment |
      | before |
      | after  |

  Scenario: The platform's store is unavailable
    Given 1 entry VM in antigua
    When the store becomes unavailable
    And valle-cafe sends a booking
    And mostrador asks for a booking check
    Then the booking was refused and did not run
    And the booking check ran
    And every caller got its own complete answer or a true outcome
