Feature: Error kinds
  Callers can rely on one closed list of errors.

  Scenario: A refusal that can be retried says when to come back
    Given an error of kind "queue-full" with a wait of 1500 ms
    Then its answer has status 503 and says that the request did not run
    And it asks the caller to come back after 1500 ms
