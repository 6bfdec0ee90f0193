Feature: The command line shows what happens and why

  The commands read everything from the running processes. Guards against a command that
  shows nothing useful during an incident, when an operator has nothing else.

  Background:
    Given an operator and a producer use domeworks on 2 VMs

  Scenario: A producer submits jobs, asks why one waits, and cancels
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

  Scenario: A paused process is listed until it has applied the settings
    Guards against an operator who revokes a team's access and is told that the change
    is in force everywhere, while a paused VM resumes with the old settings.
    Then "settings status" exits with 0 for the operator in the end
    When vm-2-entry is stopped with SIGSTOP
    And the operator runs "settings edit policy --set queue_limit=77"
    Then "settings status" exits with 10 for the operator in the end
    And the output names vm-2-entry
    When vm-2-entry is continued with SIGCONT
    Then "settings status" exits with 0 for the operator in the end
    And the output does not name vm-2-entry
