Feature: Workers give their guarantees, and each fault has its error kind

  Scenario Outline: A task runs after reserve, prepare and go
    Given the stand-in accessed <how>
    When worker "w1" receives under epoch 5: reserve, prepare
    Then task "j.1" is held on "w1"
    When worker "w1" receives under epoch 5: go, go
    Then task "j.1" becomes finished on "w1"
    And the ledger shows 1 run of task "j.1", finished
    When worker "w1" receives under epoch 5: go, stop, stop
    Then task "j.1" is finished on "w1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A worker refuses commands that would harm another task
    Given the stand-in accessed <how>
    When worker "w1" receives under epoch 5: reserve
    And worker "w1" receives under epoch 5: reserve of "k.1"
    Then the stand-in's call failed as target_refused
    When worker "w1" receives under epoch 4: stop
    Then the stand-in's call failed as stale_epoch
    And task "j.1" is held on "w1"
    When worker "w1" receives under epoch 5: go
    Then the stand-in's call failed as target_refused
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A late command does not restart a stopped task
    Given the stand-in accessed <how>
    When worker "w1" receives under epoch 5: stop
    And worker "w1" receives under epoch 5: reserve
    Then the stand-in's call failed as target_refused
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A task whose lease expires stops
    Its owner died. The other members of the gang stop by their own leases, so no
    part of the gang continues.
    Given the stand-in accessed <how>
    When worker "w1" receives under epoch 5: reserve, prepare, long go
    Then task "j.1" is running on "w1"
    And task "j.1" becomes stopped on "w1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A throttled task keeps its progress
    Given the stand-in accessed <how>
    When worker "w1" receives under epoch 5: reserve, prepare, throttle, go
    And 1 seconds pass
    Then task "j.1" is running on "w1"
    And a checkpoint of task "j.1" on "w1" saves under 0.1 seconds
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A command without an answer may have taken effect
    Given the stand-in accessed <how>
    When the stand-in's faults become {"workers": {"w1": {"lose_answers": 1}}}
    And worker "w1" receives under epoch 5: reserve
    Then the stand-in's call failed as worker_unreachable
    And task "j.1" is held on "w1"
    When the stand-in's faults become {"workers": {"w1": {"frozen": true}}}
    And worker "w1" receives under epoch 5: stop
    Then the stand-in's call failed as worker_unreachable
    And task "j.1" is held on "w1"
    When the stand-in's faults become {"workers": {"w1": {"frozen": false, "down": true}}}
    And worker "w1" receives under epoch 5: stop
    Then the stand-in's call failed as worker_unreachable
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A broken worker fails every task it starts
    Given the stand-in accessed <how>
    When the stand-in's faults become {"workers": {"w1": {"fail_tasks": true}}}
    And worker "w1" receives under epoch 5: reserve, prepare, go
    Then task "j.1" becomes failed on "w1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A leaving worker refuses tasks, and the VM list shows it later
    Given the stand-in accessed <how>
    When the stand-in's faults become {"leave": ["w1"], "lag_seconds": 1}
    And worker "w1" receives under epoch 5: reserve
    Then the stand-in's call failed as target_refused
    And the VM list eventually shows "w1" as leaving
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario: The report of another worker at the same address is rejected
    Settings name an address that a replacement machine has taken over. Its report
    would make all tasks of the intended worker appear lost.
    Given the stand-in accessed over HTTP
    And the address of "w1" leads to "w2"
    When worker "w1" receives under epoch 5: report
    Then the stand-in's call failed as worker_unreachable
