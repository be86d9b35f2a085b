Feature: A caller gets the whole answer to its own request, or the truth

  Scenario Outline: An executor answers wrongly
    Given 1 entry VM in antigua
    And the next answer of an executor is <fault>
    When mostrador asks for a booking check
    And valle-cafe sends a booking
    Then every caller got its own whole answer or the truth
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
    Then every caller got its own whole answer or the truth
    And nothing ran twice

    Examples:
      | moment |
      | before |
      | after  |

  Scenario: The platform's store is away
    Given 1 entry VM in antigua
    When the store goes away
    And valle-cafe sends a booking
    And mostrador asks for a booking check
    Then the booking was refused and did not run
    And the booking check ran
    And every caller got its own whole answer or the truth
