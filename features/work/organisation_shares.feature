Feature: Scarce room is shared among organisations by their guarantees
  One organisation submits far more than the others while room is short. Without shares
  its jobs, each with as little slack as the others', take nearly all of the room.

  Background: Two organisations with uneven guarantees
    Given 4 workers of 4 accelerators, with guarantees of 4 to post and 1 to domes

  Scenario: The organisation that used more than its share goes last
    Guards against callers of an organisation who wait behind all jobs of another.
    Given domes has used all accelerators for 10 s
    When 6 tasks of domes and then 2 of post wait for 4 free accelerators
    Then both tasks of post start, and 2 of domes

  Scenario: Guaranteed urgent work keeps its place
    Guards against a share that takes from an organisation what it is guaranteed.
    Given domes has used all accelerators for 10 s
    When an urgent task of domes within its guarantee and 4 tasks of post wait for 4 free accelerators
    Then the urgent task starts first

  Scenario: Nothing waits beside free room for its share
    Guards against room that stays empty because its organisation is over its share.
    Given domes has used all accelerators for 10 s
    When 3 tasks of domes and then 1 of post wait for 4 free accelerators
    Then all of them start

  Scenario: An organisation that waits alone keeps its order
    Given domes has used all accelerators for 10 s
    When 6 tasks of domes wait for 4 free accelerators
    Then nobody is over a share

  Scenario: Even guarantees change nothing
    Guards against shares on deployments that never asked for weights.
    Given equal guarantees
    And domes has used all accelerators for 10 s
    When 6 tasks of domes and then 2 of post wait for 4 free accelerators
    Then nobody is over a share

  Scenario: Organisations that neither wait nor run do not count in the mean
    Guards against former organisations, whose use has faded, that make all others
    seem to be over their shares.
    Given domes has used 8 accelerators and post 6 lately, and eight others long ago
    When a task of domes and one of post wait
    Then only domes is over its share

  Scenario: An organisation within its guarantee is never over its share
    Guards against an organisation that goes last with less than it is guaranteed.
    Given domes has used 0 accelerators and post 3 lately, and eight others long ago
    When a task of domes and one of post wait
    Then nobody is over a share

  Scenario: A pool without accelerators has shares as well
    Guards against a pass that fails where no weight follows from accelerators.
    Given a pool whose workers have no accelerators
    When an organisation with a guarantee and two without one wait there
    Then the pass succeeds, and starts all of them

  Scenario: Use that has faded is forgotten
    Guards against a record that grows with each organisation and never rests.
    Given domes has used all accelerators for 10 s
    When 200 s pass without work
    Then no use is left to store

  Scenario: Shares that are switched off keep no use
    Guards against an earlier owner's use that is stored as new again and again.
    Given domes has used all accelerators for 10 s
    And equal guarantees
    When 6 tasks of domes and then 2 of post wait for 4 free accelerators
    Then no use is left to store

  Scenario: Work of an organisation over its share is stopped first
    Guards against stops that fall on whoever uses little.
    Given domes has used all accelerators for 10 s
    When 2 tasks of domes and 2 of post run, and urgent work of post beyond its guarantee takes 2 accelerators
    Then both tasks of domes are stopped for it

  Scenario: Work of an organisation that does not wait itself is stopped first
    Guards against stops that spare an organisation because all of its work runs.
    Given domes has used all accelerators for 10 s
    When 2 tasks of domes and 2 of post run, and urgent work of post beyond its guarantee takes 2 accelerators while others wait
    Then both tasks of domes are stopped for it

  Scenario: Use in the past counts half after ten seconds
    Guards against an organisation that stays behind others for an old burst.
    Given domes has used all accelerators for 10 s
    When 40 s pass without work
    Then the use of domes is below 0.05

  Scenario: The next owner goes on with the use and its age
    Guards against a change of owner that lets the organisation begin anew.
    Given domes has used all accelerators for 10 s
    When the owner stores its statistics, and the next one loads them 10 s later
    Then the next owner counts half of the use of domes

  Scenario Outline: A record that can't be used means no use
    Guards against an owner that fails, or favours somebody, by a foreign record.
    When an owner loads <record>
    Then the next owner counts no use

    Examples:
      | record                          |
      | no statistics                   |
      | statistics of another form      |
      | statistics of the former form   |
      | statistics with a negative use  |
      | statistics with a use of nan    |

  Scenario: A write that fails leaves the use as it is
    Guards against an owner that loses what it knows when the store answers nothing.
    Given domes has used all accelerators for 10 s
    When the store fails while the owner stores its statistics
    Then the owner still counts the use of domes

  Scenario: Callers of small organisations are in time in a burst of a large one
    Plays 30 s in which one organisation submits four tasks in five, twice the room's
    worth in all.
    When the burst is played with shares and without
    Then more of the small organisation's callers are in time with shares
    And as many callers are in time in all, but for one in twenty
