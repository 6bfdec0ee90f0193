Feature: Records of different jobs don't wait for one another
  A start is sent once its record is stored. At a store that takes a tenth of a second a
  call, waiting for another job's record first makes urgent work late for its caller.

  Background:
    Given an owner's recorder and 3 open jobs
    And a store that takes 0.108 s a call

  Scenario: A job's record waits for one call of a slow store
    When job 0 changes and 0.03 s pass
    And job 1 changes
    Then the changes of job 1 are stored within 0.16 s

  Scenario: A job that changes while its record is written is written again
    Otherwise the next owner would start from a state that is over.
    When job 0 changes and 0.03 s pass
    And job 0 changes
    Then the changes of job 0 are stored within 0.26 s
    And the store has the latest state of job 0

  Scenario: A caller with two jobs waits for both records
    When job 0 changes and 0.03 s pass
    And job 1 changes
    Then the changes of jobs 0 and 1 are stored when it is told so
    And the store has the latest state of job 0
    And the store has the latest state of job 1

  Scenario: Every change is stored once a silent store answers again
    When the store goes silent
    And job 0 changes and 0.1 s pass
    And job 1 changes and 0.1 s pass
    And job 2 changes and 3 s pass
    And the store answers again
    Then the changes of jobs 0 and 1 are stored when it is told so
    And the store has the latest state of job 2 within 2 s
