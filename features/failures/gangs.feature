Feature: Gangs survive failures of their owner

  Scenario: The owner of cells dies repeatedly while gangs start
    A placer's VM is lost between the start of one member and that of the next.
    If no other placer took the start over, half a render would hold its GPUs and
    never end, and the evening's session would have no show.

    Given 3 VMs hold the cells
    When gangs are submitted and the owner is killed after each count of starts
      | starts |
      | 1      |
      | 2      |
      | 4      |
      | 5      |
      | 7      |
    Then every gang has ended, whole and once
    And no gang that may not be run again has started twice

  Scenario: An owner paused past its lease resumes beside its successor
    A VM's hypervisor pauses a placer for some seconds, its cells get another
    owner, and then the placer resumes where it was. If it still acted, two owners
    would start or stop the same render independently.

    Given 3 VMs hold the cells
    And gangs run in each cell
    When the owner of the most cells is paused until others own its cells
    And it resumes and more gangs are submitted
    Then every gang has ended, whole and once
    And on each worker the epochs of started tasks never fall
    And each cell has one owner

  Scenario: The owner dies when only one member of a gang has been told to go
    The start of a gang is recorded in the store, one worker has begun, and the
    message to the other is delayed when the owner's VM is lost. Only the next owner
    can tell the other to go; until then half a render holds its GPUs.

    Given 3 VMs hold the cells
    When one member of a gang goes, the other's worker hangs, and the owner dies
    And the worker answers again
    Then every gang has ended, whole and once
