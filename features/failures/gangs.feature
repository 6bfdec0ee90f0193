Feature: Gangs when their owner fails

  Scenario: The owner of cells dies while gangs start, again and again
    A placer's VM is lost between the start of one member and that of the next.
    If nobody took the start over, half a render would hold its GPUs and never
    end, and the evening's session would have no show.

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

  Scenario: An owner that was paused past its lease wakes up beside its successor
    A VM's hypervisor stops a placer for some seconds, its cells get another
    owner, and then it goes on where it was. If it still acted, one render would
    be started or stopped by two owners that don't know of each other.

    Given 3 VMs hold the cells
    And gangs run in each cell
    When the owner of the most cells is paused until others own its cells
    And it goes on and more gangs are submitted
    Then every gang has ended, whole and once
    And on each worker the epochs of what started only rise
    And each cell has one owner

  Scenario: The owner dies when only one member of a gang has been told to go
    The start of a gang stands in the store, one worker has begun, and the
    message to the other is held up when the owner's VM is lost. Nobody but the
    next owner can let the other go; until then half a render holds its GPUs.

    Given 3 VMs hold the cells
    When one member of a gang goes, the other's worker hangs, and the owner dies
    And the worker answers again
    Then every gang has ended, whole and once
