Feature: A VM goes under load

  Scenario: A VM is killed
    Given callers ask all hubs for checks and bookings
    When hub 2 is killed
    And the callers go on for 4 seconds
    Then no booking ran twice
    And hubs 0 and 1 answered at least 95 in 100 checks after 2 seconds

  Scenario: A VM is told to stop
    Given a long answer streams from hub 1
    When hub 1 is told to stop
    Then hub 1 is not ready
    And the long answer is whole
    And hub 1 exits with 0
