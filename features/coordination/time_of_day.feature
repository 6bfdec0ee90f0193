Feature: The time of day of a process
  Scheduled jobs start at a time of day, which a process takes from its VM.

  Scenario: The VM's clock is set just after the process has begun
    A VM does not know the time yet when its process starts, and is told it a moment
    later. The process took the time of day once, at its start: as long as it lived, a
    job that was due at noon began at five past.
    Given a process on a VM whose time of day is 300 s behind
    When the VM's time of day is set 2 s later
    Then the process is at most 0.1 s off after 70 s

  Scenario: The VM's clock jumps and is put back
    A time service sets the clock wrong for some seconds. Were that followed, a job
    would start before its time.
    Given a process on a VM whose time of day is right
    When the VM's time of day is 40 s ahead for 50 s
    Then the process was never more than 0.1 s off

  Scenario: The VM's clock jumps to and fro
    Each jump ends before it can be told from a mistake.
    Given a process on a VM whose time of day is right
    When the VM's time of day is 5 s ahead for 10 s, 12 times, every 20 s
    Then the process was never more than 0.1 s off
