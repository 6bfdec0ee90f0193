Feature: Only processes with the deployment's keys are answered

  The connections between the processes of a deployment are encrypted with one pair of
  keys from the settings. Guards against a process on the network without the keys that
  grants slots or relays settings, after which requests are refused everywhere without
  a visible reason.

  Scenario: With keys the whole path works, and a process without them is not answered
    Given domeworks runs on 2 VMs with keys between processes
    When a technician asks entry 1 for the preview "sky"
    Then the answer is complete and belongs to the preview "sky"
    And each entry has an answer from a placer
    And a process without the keys gets no answer from a placer
