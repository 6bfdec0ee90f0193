Feature: The time of day of a process
  Scheduled jobs start at a time of day, which a process reads from its VM.

  Scenario: The VM's clock is set just after the process has started
    Guards against jobs that start minutes late. A VM's clock may be set a moment after
    its process starts; a process that read the time of day only once, at its start,
    started a job that was due at noon at five past for as long as it lived.
    Given a process on a VM whose time of day is 300 s behind
    When the VM's time of day is set 2 s later
    Then the process is at most 0.1 s off after 70 s

  Scenario: The VM's clock jumps and is put back
    Guards against jobs that start early because a time service sets the clock wrong for
    some seconds.
    Given a process on a VM whose time of day is right
    When the VM's time of day is 40 s ahead for 50 s
    Then the process was never more than 0.1 s off

  Scenario: The VM's clock jumps repeatedly
    Each jump ends before the new time counts as stable.
    Given a process on a VM whose time of day is right
    When the VM's time of day is 5 s ahead for 10 s, 12 times, every 20 s
    Then the process was never more than 0.1 s off
