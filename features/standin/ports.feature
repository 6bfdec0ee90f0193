Feature: Concurrent deployments get different ports

  Scenario: A reserved port is not given to another deployment before its program listens
    Two deployments start at the same time. If both got one port, the store of one could
    not listen, and a test would read the answers of the other deployment's program.
    Given two deployments that choose from the same 20 ports
    When each takes 10 ports and nothing listens on them yet
    Then no port was taken twice
