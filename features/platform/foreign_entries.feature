Feature: Values that other programs write are rejected, and the rest stays in use
  The store and the workers may return values that our code never writes: with missing
  fields, wrong types, unknown states or pools, or bytes that can't be decoded.

  Scenario Outline: An invalid worker's entry is not listed
    Another program on the platform writes under a worker's key. If its entry counted as
    a worker, it would be given work that nothing runs, or add capacity that does not
    exist, and callers would wait for jobs that never start.
    When a worker's entry is written with <fault>
    Then only the valid worker is listed

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

  Scenario: A rejection is logged once, and again when its reason changes
    The list of workers is read twice a second. A line for each reading would hide
    everything else in the log, and make the metric rise without end.
    When a list with an entry without labels is read 5 times
    Then 1 rejection is logged, as worker_entry form
    When the entry is written with an empty address, and the list is read 3 times
    Then 2 rejections are logged, the last as worker_entry address
    When the entry is valid, and the list is read 2 times
    And the entry is written with an empty address, and the list is read 3 times
    Then 3 rejections are logged, the last as worker_entry address

  Scenario: Rejected values are counted in the metrics
    Given the platform's stand-in over HTTP with 2 workers
    And an entry of another program in the list of workers
    And a process of ours on it
    Then the metrics count 1 worker_entry rejected for its form

  Scenario Outline: One unreadable item does not invalidate a page of the store
    An item in the list of workers is malformed. If the whole page were rejected, or the
    error raised in the task that reads the list, the owner would lose every worker
    because of one key.
    When the store returns a page of workers with <fault> beside a valid one
    Then the valid worker of the page is listed

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

  Scenario: An unreadable record does not count as absent
    An item of our own records has no key. If it were left out, the next owner would
    take its job for one that never started, and run its tasks a second time.
    When the store returns a page of records with an item without a key
    Then listing the records fails
    And a record whose value is no base64 keeps its key and revision

  Scenario: A watch with an unreadable event makes the caller list again
    When the store answers a watch with an event that can't be read
    Then the watch result is incomplete

  Scenario: A change that is answered without a revision may have taken effect
    If it counted as done at revision 0, the next write of the record would have a
    condition that never holds.
    Then a change that is answered {} has an unknown outcome
    And a lease that is answered {} is not held

  Scenario Outline: An unreadable row of a worker's answer does not count as absent
    A worker lists a run or an end in an unknown format. If the row were skipped, a
    running task would count as gone and start a second time elsewhere; if the error
    were raised, the coroutine that polls the worker would end, and the owner's term
    with it.
    When a worker answers a poll with <row>
    Then the poll returns the valid run and the valid end
    And the poll is marked as incomplete
    And ends may be acknowledged up to number <most>

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

  Scenario: Runs continue while their worker's rows can't be read
    For some seconds every worker lists its runs in truncated rows. The runs still
    exist: if they were started again, each would run twice and be billed twice.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 2 processes of ours
    And the tasks of k1 take 6 s
    When job k1 is handed in with steps
      | count | accelerators |
      | 6     | 4            |
    And k1 runs on the fleet
    And workers truncate the rows of their runs
    And 3 s pass
    And workers' rows are valid again
    Then job k1 is shown as completed within 8 s
    And every task of k1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: An unreadable end is not acknowledged
    A worker lists an end of an unknown kind between readable ones. If ends were
    acknowledged up to the last one, the task would be neither running nor ended, and a
    task that had succeeded would start again.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    And the tasks of k2 take 2 s
    When job k2 is handed in with steps
      | count | accelerators |
      | 6     | 2            |
    And k2 runs on the fleet
    And workers report the end of every second task with an unknown kind
    And 6 s pass
    Then the workers were polled at most 12 times in 3 s
    When workers' rows are valid again
    Then job k2 is shown as completed within 5 s
    And every task of k2 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: Progress and usage of a run may be unreadable
    A percentage or a usage figure is out of its range. The run is still listed.
    Then a run with an unreadable percent and usage is still listed

  Scenario Outline: An unreadable answer is treated as no answer
    Then a poll that is answered <body> fails as unanswered

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

  Scenario: An order that is refused for an unknown reason may have taken effect
    If it counted as refused, the run would be started elsewhere while it continues.
    Then an order that is refused for an unknown reason is unanswered
    And an order whose refusal can't be read is unanswered

  Scenario: An unreadable row of advice leaves the answer incomplete
    The service names a worker, but the row is truncated. If the worker counted as not
    allowed, it would stay refused, and the step might never start.
    When the advice service answers with rows that can't be read
    Then the valid row is used
    And the answer is marked as incomplete

  Scenario: A VM with an unreadable row does not count as removed
    The maintenance of a VM that is not listed counts as over. A wave would be reported
    as completed while that VM still waits for it.
    When the list of VMs has a row of which only the name can be read
    Then that VM is listed as down
    And a list with a row without a name fails

  Scenario: Maintenance may have begun when its refusal can't be read
    Then a maintenance order that is refused with an unreadable body is unanswered
    And a maintenance order that is refused for an unknown reason is unanswered

  Scenario Outline: An invalid maintenance wave is not listed
    When a wave is written with <fault>
    Then only the valid wave is listed

    Examples:
      | fault                         |
      | no list of VMs                |
      | no bound on how many          |
      | a bound of 0                  |
      | a negative deadline           |
      | another number than its key   |
      | text for a VM                 |
      | half of its bytes             |

  Scenario Outline: Decoding an invalid configuration raises only the declared failure
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

  Scenario: An unreadable configuration leaves the last one in force for a limited time
    The newest version has a format that this process can't decode. If the older one
    stayed in force indefinitely, a caller whose key was removed would still be served.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    When the configuration is overwritten with bytes that can't be read
    And 0.8 s pass
    Then requests are checked against policy version 1
    When 3 s pass
    Then requests fail since the policy is not recent
    When a readable configuration of version 3 is written
    And 1 s pass
    Then requests are checked against policy version 3

  Scenario: Another program overwrites the entries of live workers
    It writes unreadable values over the entries of two workers that run tasks, and adds
    entries of its own; then the store is down for a second, after which a missing entry
    alone would not count yet. The runs must continue: if they were started again
    elsewhere, clients would be billed twice. The two workers must get work again once
    their entries are valid.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 2 processes of ours
    And the tasks of j1 take 9 s
    And the tasks of j2 take 2 s
    When job j1 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 1            | 1               |
    And j1 runs on the fleet
    And another program overwrites the entries of w1 and w2, and adds some of its own
    And the store is down for 1 s
    And 0.7 s pass
    And job j2 is handed in with steps
      | count | accelerators |
      | 4     | 6            |
    And 2 s pass
    Then no task of j2 was started on w1 or w2
    And only the four workers are known to the owner
    And job j2 is shown as completed within 8 s
    And job j1 is shown as completed within 12 s
    And every task of j1 was started once
    And every task of j2 was started once
    Given the tasks of j3 take 2 s
    When the entries of w1 and w2 are valid again
    And 1 s pass
    And job j3 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then job j3 is shown as completed within 6 s
    And the fleet's ledger shows nothing wrong
