Feature: What must always hold, with real processes and real faults

  @holds-1
  Scenario: An account reclaims its guaranteed rack after a worker was lost
    Given a fleet of separate processes for "akwaboa"
    And another account fills the fleet with 40 runs that can be checkpointed
    When the agent of the first worker is killed
    And the account with a guaranteed rack submits a gang
    Then the gang has started within 10 s
    And the gang finishes
    When the other account cancels its runs
    Then the records of the backend servers show no violation

  @holds-2
  Scenario: A gang whose member is lost stops and runs whole elsewhere
    Given a fleet of separate processes for "akwaboa"
    When a gang that runs for 14 s has started
    And the agent of its second member is killed
    Then its first member has stopped 5 s later
    And its second member has stopped when the platform's lease has lapsed
    And the gang finishes
    And the records of the backend servers show no violation

  @holds-2
  Scenario: A gang whose coordinator is frozen never runs in part
    Given a fleet of separate processes for "akwaboa"
    When a gang that runs for 8 s has started
    And the agent of its first member is frozen for 6 s
    Then every request has ended
    And the records of the backend servers show no violation

  @holds-3
  Scenario Outline: Answers arrive whole though connections fall silent
    Given a fleet of 3 workers for "akwaboa" whose agents reach the entries over a relay
    When counter requests arrive at 40 per s with answers of 50000 bytes
    And an account submits 8 asynchronous batch requests
    And 1 s pass
    And every open connection of the relay falls silent in <direction>
    And 4 s pass
    Then every request finishes
    And the records of the backend servers show no violation

    Examples:
      | direction                  |
      | both directions            |
      | the direction of the entry |

  @holds-4
  Scenario: What is refused as not run has not run
    Given a fleet of 3 workers for "akwaboa"
    When the store goes down
    And 10 requests that must run at most once are sent
    Then each of them is refused as not run
    When the store is back
    Then a request that must run at most once finishes within 10 s
    And the records of the backend servers show no violation

  @holds-5
  Scenario: Work that must not repeat runs at most once under lost answers
    Given a fleet of 3 workers for "akwaboa"
    When the store loses the answers to its next 6 writes
    And 8 requests that must run at most once are sent with keys
    And the agent of a worker that runs one of them is killed
    And the callers repeat at the other entry what has not finished
    Then the store has lost all those answers
    And the records of the backend servers show no violation

  @holds-6
  Scenario: A backend server that falls silent gets no new work after 3 s
    Given a fleet of 3 workers for "akwaboa"
    When counter requests arrive at 40 per s with answers of 64 bytes
    And the backend server of the first worker stops its heartbeats
    And 6 s pass
    Then no run started on the first worker later than 3 s after that
    And every request finishes
    And the records of the backend servers show no violation

  @holds-6
  Scenario: A backend server that leaves gets no new work
    Given a fleet of 3 workers for "akwaboa"
    When counter requests arrive at 40 per s with answers of 64 bytes
    And 1 s pass
    And the agent of the first worker is asked to stop
    And 2 s pass
    Then no run started on the first worker later than 1 s after that
    And the agent of the first worker has exited with 0
    And every request finishes
    And the records of the backend servers show no violation

  @holds-7
  Scenario: Planned stops of an entry and an agent cut off no request
    Given a fleet of 3 workers for "akwaboa"
    When counter requests arrive at 40 per s with answers of 64 bytes
    And an account submits 8 asynchronous batch requests
    And the first entry and the last agent are asked to stop, twice
    And 3 s pass
    Then every request finishes
    And the first entry has exited with 0
    And the records of the backend servers show no violation

  @holds-8
  Scenario: An accepted ticket is in force everywhere in spite of an outage
    Given a fleet of 3 workers for "akwaboa"
    When two operators race with tickets 5 and 6 at different entries
    And the store goes down as soon as ticket 6 is accepted
    Then ticket 6 is in force at every process within 3 s
    When the store is back and shows older values
    And 3 s pass
    Then ticket 6 is in force at every process within 3 s
    And no entry answers for an older version

  @holds-8
  Scenario: An entry that starts in an outage learns the version from a peer
    Given a fleet of 3 workers for "akwaboa"
    When the store goes down
    And the second entry is killed and started again
    Then the second entry is at the newest version within 3 s
    When 8 counter requests are sent to the second entry
    Then every request finishes
    And the records of the backend servers show no violation

  @journal
  Scenario: Accepted asynchronous requests survive the loss of their entry
    Given a fleet of 3 workers for "akwaboa"
    When 12 asynchronous requests have been accepted by the first entry
    And the first entry is killed
    Then every request finishes
    And the records of the backend servers show no violation
