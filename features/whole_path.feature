Feature: The whole path
  A request goes from its caller through an entry to an agent and its
  backend server and back, each of them a process of its own.

  Scenario Outline: Every kind of request finishes once
    Given a fleet of separate processes for "<deployment>"
    When its accounts send 20 counter requests
    And an account submits 8 asynchronous batch requests
    And an account sends a request that must run at most once
    And the account with a guaranteed rack submits a gang
    Then every request finishes
    And the gang held 16 accelerators of one rack
    And the records of the backend servers show no violation

    Examples:
      | deployment      |
      | akwaboa         |
      | cumann-leabhar  |
