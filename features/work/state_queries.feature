Feature: A query of a job's state is answered while the store can be read
  A query changes nothing, so a read that fails can be repeated within its caller's time.

  Scenario: A query meets a silent connection
    Guards against a query that fails with its caller's time left, though a new
    connection would be answered.
    Given a process with 1 idle connection to a store that knows an ended job
    When its idle connections go silent
    Then a query of the job with a deadline of 2.5 s is answered within 0.6 s

  Scenario: All idle connections of a process are silent
    Guards against a query whose repeated reads all use silent connections.
    Given a process with 6 idle connections to a store that knows an ended job
    When its idle connections go silent
    Then a query of the job with a deadline of 2.5 s is answered within 1.3 s

  Scenario: Callers with short deadlines meet silent connections
    Guards against callers who meet one silent connection after the other, since none of
    them waits long enough to show that it is silent.
    Given a process with 6 idle connections to a store that knows an ended job
    When its idle connections go silent
    And a caller with a deadline of 0.4 s has asked for the job in vain
    And 0.8 s later another one asks
    Then a query of the job with a deadline of 0.4 s is answered within 0.25 s

  Scenario: A silent store is not asked again and again
    Guards against callers who wait for their whole deadline for a store that answers
    nobody, and against many reads for each of them.
    Given a process with 2 idle connections to a store that knows an ended job
    When the store answers nobody
    Then a query of the job with a deadline of 3 s is refused within 1.6 s
    And it cost at most 3 reads

  Scenario: A store that refuses a read is not asked again
    Guards against repeated reads of a store that is overloaded.
    Given a process with 2 idle connections to a store that knows an ended job
    When the store refuses reads
    Then a query of the job with a deadline of 3 s is refused within 0.1 s
    And it cost at most 1 read
