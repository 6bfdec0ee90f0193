Feature: The owner's copy of a record never falls back to an older one

  Scenario: A cancellation is heard before the answer to the owner's own write
    A script submits a job and cancels it at once. The owner's record of the start
    is made, a cancellation is written over it, and the watch tells of that before
    the answer to the start arrives. The caller would find the job running to its
    end, as if it had never been cancelled.

    Given a record of a job that is just being started
    When its cancellation is heard before the answer to the write of the start
    Then the owner's copy shows the cancellation
    And the write of the start counts as made

  Scenario: A read of a record is overtaken by a newer change
    The owner reads one record again. While the answer is on its way a caller
    cancels the job, and the watch is faster.

    Given a record of a job that is just being started
    When its cancellation is heard before the answer to a read of it
    Then the owner's copy shows the cancellation
