Feature: Only processes with the deployment's keys take part

  The connections between our own processes are encrypted with one pair of keys from
  the settings. Somebody on the network without it must not be able to grant slots or
  relay settings; one would notice requests refused everywhere for no reason.

  Scenario: With keys the whole path works, and a stranger is not answered
    Given domeworks runs on 2 VMs with keys between processes
    When a technician asks entry 1 for the preview "sky"
    Then the answer is whole and belongs to the preview "sky"
    And each entry has heard from a placer
    And a process without the keys gets no answer from a placer
