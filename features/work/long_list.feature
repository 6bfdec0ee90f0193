Feature: A list of workers that takes seconds to arrive
  Such a list is out of date on its arrival. Work is decided by it all the same, but
  nothing starts on a worker whose own entry has not just been read.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And worker w2 is in failure domain perth
    And the list has 1200 workers of other services
    And 1 processes of ours
    When p1 gets a link of 2 Mbit/s
    And 5 s pass

  Scenario Outline: A worker must get no new work while the list can't show it
    Guards against starts on a worker that is about to go, or that nothing is known of:
    the list shows it up to 6 s later.
    Given job m1 of 800 tasks of 1 s is handed in at p1
    When 6 s pass
    And on worker w2, <event>
    And <fault>
    Then worker w2 gets no start later than 2 s after that
    And worker w2 had got starts before

    Examples:
      | event                     | fault                                               |
      | maintenance is announced  | 0 s pass                                            |
      | a cordon is set           | 0 s pass                                            |
      | the entry expires         | 0 s pass                                            |
      | the entry is damaged      | 0 s pass                                            |
      | the entry is not answered | 0 s pass                                            |
      | maintenance is announced  | the store drops its history and its watches are silent |
      | maintenance is announced  | the answers to the next 5 writes are lost          |
      | maintenance is announced  | the store is down for 3 s |
      | a cordon is set           | the store is down for 3 s |
      | a cordon is set           | the store answers 0.24 s late from now on           |
