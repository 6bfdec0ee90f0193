Feature: What another writer leaves is refused, and the rest holds
  The store and the workers may answer with what nobody here wrote: fields missing
  or of another type, states and pools that are not known, bytes that can't be read.

  Scenario Outline: A worker's entry that another writer left names no worker
    Something else on the platform writes under a worker's key. Taken for a worker, it
    is given work that nobody runs, or counts as room that isn't there, and callers
    wait for jobs that never start.
    When a worker's entry is written with <fault>
    Then only the good worker is listed

    Examples:
      | fault                          |
      | only a service and an address  |
      | an empty address               |
      | the address nowhere            |
      | an address without a port      |
      | an address with port 0         |
      | -8 accelerators                |
      | more memory than any VM has    |
      | a number past 64 bits          |
      | text for its accelerators      |
      | an unknown service             |
      | an unknown state               |
      | no labels                      |
      | a number for a label           |
      | a negative time to leave       |
      | bytes that are no text         |
      | half of its bytes              |
      | nothing in it                  |
      | a list in place of an object   |
      | a very deep list in a field    |
      | a megabyte of padding          |
      | a line break in its key        |
      | a second slash in its key      |

  Scenario: A refusal is told once, and again when its reason changes
    The list of workers is read twice a second. A line at each reading would bury
    everything else in the log, and make the metric rise without end.
    When a list with an entry without labels is read 5 times
    Then 1 refusal is told, as worker_entry form
    When the entry is written with an empty address, and the list is read 3 times
    Then 2 refusals are told, the last as worker_entry address
    When the entry is right, and the list is read 2 times
    And the entry is written with an empty address, and the list is read 3 times
    Then 3 refusals are told, the last as worker_entry address

  Scenario: What a process has refused stands on its page of metrics
    Given the platform's stand-in over HTTP with 2 workers
    And an entry of another writer beside them
    And a process of ours on it
    Then the page of metrics counts 1 worker_entry refused for its form

  Scenario Outline: One item that can't be read does not spoil a page of the store
    An item of the list of workers is broken. Were the page refused with it, or its
    fault raised in the task that reads the list, the owner would lose every worker
    by one key.
    When the store shows a page of workers with <fault> beside a good one
    Then the good worker of the page is listed

    Examples:
      | fault                           |
      | a value that is no base64       |
      | a value that is no ASCII        |
      | a value of another type         |
      | a number in place of an item    |
      | an item without a key           |
      | an item without a revision      |
      | a revision of another type      |
      | a key outside the prefix        |

  Scenario: A record that can't be read is not taken for one that isn't there
    An item of our own records has lost its key. Were it left out, the next owner
    would take its job for one that never started, and run its tasks a second time.
    When the store shows a page of records with an item without a key
    Then the records are not taken as read
    And a record whose value is no base64 keeps its key and revision

  Scenario: A watch whose events can't be read has everything read again
    When the store answers a watch with an event that can't be read
    Then what was heard is not complete

  Scenario: A change that was answered without a revision may have been made
    Taken for done at revision 0, the next write of the record would be made under a
    condition that never holds.
    Then a change that is answered {} has an unknown outcome
    And a lease that is answered {} is not held

  Scenario Outline: A row of a worker's answer that can't be read is not taken as news
    A worker lists a run or an end in a form that is not known. Were the row passed
    over, a task that runs would count as gone and start a second time elsewhere; were
    its fault raised, the task that asks the worker would end, and the owner's term
    with it.
    When a worker answers a look with <row>
    Then the look reads the good run and the good end
    And what the look does not show is not taken as absent
    And ends may be forgotten up to number <most>

    Examples:
      | row                                  | most |
      | a running row of one field           | all  |
      | a running row of other types         | all  |
      | a running row that is no list        | all  |
      | an ended row of two fields           | 6    |
      | an ended row of an unknown kind      | 6    |
      | an ended row without a number        | 6    |
      | an ended row with a lower number     | 1    |
      | an ended row that is no list         | 6    |

  Scenario: Runs go on while their worker's rows can't be read
    For some seconds every worker lists its runs in rows that are cut short. They are
    neither gone nor new: started again, each would run twice and be billed twice.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 2 processes of ours
    And the tasks of k1 take 6 s
    When job k1 is handed in with steps
      | count | accelerators |
      | 6     | 4            |
    And k1 runs on the fleet
    And workers cut short the rows of what runs
    And 3 s pass
    And workers' rows are right again
    Then job k1 is shown as completed within 8 s
    And every task of k1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: An end that can't be read is not forgotten
    A worker lists one end in a kind that is not known, between ends that are. Were it
    told to forget up to the last of them, the task would be neither there nor ended, so
    that what had ended well would start again.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    And the tasks of k2 take 2 s
    When job k2 is handed in with steps
      | count | accelerators |
      | 6     | 2            |
    And k2 runs on the fleet
    And workers list the end of each second task in a kind that is not known
    And 6 s pass
    Then the workers were asked at most 12 times in 3 s
    When workers' rows are right again
    Then job k2 is shown as completed within 5 s
    And every task of k2 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: Fields that say only how far a run is may be unreadable
    A percent or a figure of usage is out of its range. The run is there all the same.
    Then a run with an unreadable percent and usage is still listed

  Scenario Outline: An answer that can't be read says nothing about the runs
    Then a look that is answered <body> fails as unanswered

    Examples:
      | body                                               |
      | {"clock_ms":5}                                     |
      | {"clock_ms":5,"running":[]}                        |
      | {"clock_ms":5,"ended":[]}                          |
      | {"running":[],"ended":[]}                          |
      | {"clock_ms":-1,"running":[],"ended":[]}            |
      | {"clock_ms":1e300,"running":[],"ended":[]}         |
      | {"clock_ms":Infinity,"running":[],"ended":[]}      |
      | []                                                 |

  Scenario: A refusal for a reason that nobody knows may hide an order carried out
    Taken for a refusal, the run would be started elsewhere while it goes on.
    Then an order that is refused for an unknown reason is unanswered
    And an order whose refusal can't be read is unanswered

  Scenario: A row of advice that can't be read is asked for again
    The service names a worker, but the row is cut short. Were the worker taken as not
    allowed, it would be so for good, and the step might never start.
    When the advice service answers with rows that can't be read
    Then the good row is taken
    And the answer counts as not complete

  Scenario: A VM whose row can't be read is not taken as gone
    A VM that is not on the list counts as having its upkeep behind it. A wave would
    be told as completed while that VM still waits for it.
    When the list of VMs shows a row that can't be read but for its name
    Then that VM is listed as down
    And a list with a row without a name is not taken as read

  Scenario: An upkeep's refusal that can't be read may hide that it began
    Then an upkeep that is refused with a body that can't be read is unanswered
    And an upkeep that is refused for an unknown reason is unanswered

  Scenario Outline: A wave of upkeep that another writer left is left alone
    When a wave is written with <fault>
    Then only the good wave is listed

    Examples:
      | fault                         |
      | no list of VMs                |
      | no bound on how many          |
      | a bound of 0                  |
      | a negative deadline           |
      | another number than its key   |
      | text for a VM                 |
      | half of its bytes             |

  Scenario Outline: A configuration that can't be read raises only what is declared
    When the configuration is written with <fault>
    Then reading the policy fails as malformed

    Examples:
      | fault                          |
      | only its version               |
      | no organisations               |
      | no services                    |
      | text for a guarantee           |
      | a list for a guarantee         |
      | a guarantee of -1              |
      | a queue without a prefix       |
      | a queue with 0 attempts        |
      | a queue with a stretch of -1   |
      | a huge time-out                |
      | half of its bytes              |

  Scenario: A configuration that can't be read leaves the last one in force while proved
    Operators' newest version is of a form that this process doesn't know. Judged by
    the older one for as long as that stands, a caller whose key was taken away would
    still be served.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    When the configuration is overwritten with bytes that can't be read
    And 0.8 s pass
    Then callers are judged by version 1
    When 3 s pass
    Then callers are told that the policy is not recent
    When a readable configuration of version 3 is written
    And 1 s pass
    Then callers are judged by version 3

  Scenario: Foreign entries come over live workers and beside them
    Another writer puts what can't be read over the entries of two workers that run
    tasks, and leaves entries of its own beside; then the store is away for a second,
    after which a missing entry alone would not count yet. What runs must go on: started again
    elsewhere, clients would be billed twice; and the two must get work again once
    their entries are right.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 2 processes of ours
    And the tasks of j1 take 9 s
    And the tasks of j2 take 2 s
    When job j1 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 1            | 1               |
    And j1 runs on the fleet
    And foreign values come over the entries of w1 and w2, and beside them
    And the store is down for 1 s
    And 0.7 s pass
    And job j2 is handed in with steps
      | count | accelerators |
      | 4     | 6            |
    And 2 s pass
    Then no task of j2 was started on w1 or w2
    And only the four workers have been looked at
    And job j2 is shown as completed within 8 s
    And job j1 is shown as completed within 12 s
    And every task of j1 was started once
    And every task of j2 was started once
    Given the tasks of j3 take 2 s
    When the entries of w1 and w2 are right again
    And 1 s pass
    And job j3 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then job j3 is shown as completed within 6 s
    And the fleet's ledger shows nothing wrong
