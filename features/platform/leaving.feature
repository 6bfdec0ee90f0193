Feature: A process that ends answers its callers to the last
  The balancer takes seconds to send its callers elsewhere, and callers go on using open
  connections.

  Scenario: A caller asks on open connections while the process ends
    Guards against queries that are refused or broken off by a process that ends.
    Given the platform's stand-in over HTTP with 2 workers
    And a process of ours on it
    When a caller submits a job over HTTP
    And 4 callers ask for its state every 0.02 s while the process is told to end
    Then they were answered until nothing listened any more
    And each answer of the last 1.8 s closed its connection
