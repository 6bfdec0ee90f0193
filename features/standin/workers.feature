Feature: Workers keep their promises, and each fault has its error kind

  Scenario Outline: A task runs once it is reserved, prepared and let go
    Given the stand-in reached <how>
    When worker "w1" is told under epoch 5: reserve, prepare
    Then task "j.1" is held on "w1"
    When worker "w1" is told under epoch 5: go, go
    Then task "j.1" comes to be finished on "w1"
    And the ledger shows 1 run of task "j.1", finished
    When worker "w1" is told under epoch 5: go, stop, stop
    Then task "j.1" is finished on "w1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A worker refuses what would break another's task
    Given the stand-in reached <how>
    When worker "w1" is told under epoch 5: reserve
    And worker "w1" is told under epoch 5: reserve of "k.1"
    Then the stand-in's call failed as target_refused
    When worker "w1" is told under epoch 4: stop
    Then the stand-in's call failed as stale_epoch
    And task "j.1" is held on "w1"
    When worker "w1" is told under epoch 5: go
    Then the stand-in's call failed as target_refused
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A command that arrives late brings no stopped task back
    Given the stand-in reached <how>
    When worker "w1" is told under epoch 5: stop
    And worker "w1" is told under epoch 5: reserve
    Then the stand-in's call failed as target_refused
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A task whose lease lapses stops
    Its owner died. The other members of the gang stop by their own leases, so
    the gang does not go on in part.
    Given the stand-in reached <how>
    When worker "w1" is told under epoch 5: reserve, prepare, long go
    Then task "j.1" is running on "w1"
    And task "j.1" comes to be stopped on "w1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A throttled task keeps its progress
    Given the stand-in reached <how>
    When worker "w1" is told under epoch 5: reserve, prepare, throttle, go
    And 1 seconds pass
    Then task "j.1" is running on "w1"
    And a checkpoint of task "j.1" on "w1" saves under 0.1 seconds
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A command whose answer does not come may have taken effect
    Given the stand-in reached <how>
    When the stand-in's faults become {"workers": {"w1": {"lose_answers": 1}}}
    And worker "w1" is told under epoch 5: reserve
    Then the stand-in's call failed as worker_unreachable
    And task "j.1" is held on "w1"
    When the stand-in's faults become {"workers": {"w1": {"frozen": true}}}
    And worker "w1" is told under epoch 5: stop
    Then the stand-in's call failed as worker_unreachable
    And task "j.1" is held on "w1"
    When the stand-in's faults become {"workers": {"w1": {"frozen": false, "down": true}}}
    And worker "w1" is told under epoch 5: stop
    Then the stand-in's call failed as worker_unreachable
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A broken worker fails every task it starts
    Given the stand-in reached <how>
    When the stand-in's faults become {"workers": {"w1": {"fail_tasks": true}}}
    And worker "w1" is told under epoch 5: reserve, prepare, go
    Then task "j.1" comes to be failed on "w1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A leaving worker takes no task, and the list shows it later
    Given the stand-in reached <how>
    When the stand-in's faults become {"leave": ["w1"], "lag_seconds": 1}
    And worker "w1" is told under epoch 5: reserve
    Then the stand-in's call failed as target_refused
    And the VM list comes to show "w1" as leaving
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario: Another worker at the address is not taken for the one that was asked
    Settings name an address that a replaced machine has taken over. Its report
    would make lost tasks of all that the right worker holds.
    Given the stand-in reached over HTTP
    And the address of "w1" leads to "w2"
    When worker "w1" is told under epoch 5: report
    Then the stand-in's call failed as worker_unreachable
