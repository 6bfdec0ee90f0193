Feature: Deployments side by side don't meet on one port

  Scenario: A port that was given out is not given out again before its program listens
    Two deployments start side by side. Were both given one port, the store of one could
    not listen, and a test would read the answers of the other's program.
    Given two deployments that look at the same 20 ports
    When each takes 10 ports and nothing listens on them yet
    Then no port was taken twice
