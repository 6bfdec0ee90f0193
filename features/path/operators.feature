Feature: Operators see from the command line what happens and why

  Somebody new to the deployment has only the commands. Whatever they show is read
  from the running processes, so a command that shows nothing useful in trouble is
  noticed only then, with work waiting.

  Background:
    Given an operator and a producer use domeworks on 2 VMs

  Scenario: A newcomer submits jobs, asks why one waits, and cancels
    When the producer submits renders of 64 accelerators for an hour as FIRST, SECOND and THIRD
    And the producer runs "job submit --team show-production --class wide-render --accelerators 64 --adjacency rack --seconds 1" as FOURTH
    Then "job status FIRST" shows "started" to the producer in the end
    And "job explain FIRST" shows "It was given a place" to the operator in the end
    And "job explain FOURTH" shows "accepted. It has not run yet." to the producer in the end
    And "job explain FOURTH" shows "  It waits" to the producer in the end
    And "fleet" shows "0 of 64 accelerators free; 1 jobs run" to the operator in the end
    And "fleet" shows "fragmentation 0." to the operator in the end
    And "guarantees" shows "producers: 4 x 8 accelerators in one worker; it holds" to the operator in the end
    When the producer runs "job cancel FIRST"
    And the producer runs "job cancel SECOND"
    And the producer runs "job cancel THIRD"
    Then "job explain FIRST" shows "Its caller cancelled it." to the operator in the end
    And "job explain FOURTH" shows "It finished." to the producer in the end
    And "fleet" shows "s (median)" to the operator in the end

  Scenario: A process that stands still is named until it has the settings
    A VM hangs. It goes on with old settings when it wakes, and an operator who was
    told that all is well would shut out a team that still gets in.
    Then "settings status" exits with 0 for the operator in the end
    When vm-2-entry stands still
    And the operator runs "settings edit policy --set queue_limit=77"
    Then "settings status" exits with 10 for the operator in the end
    And the output names vm-2-entry
    When vm-2-entry goes on
    Then "settings status" exits with 0 for the operator in the end
    And the output does not name vm-2-entry
