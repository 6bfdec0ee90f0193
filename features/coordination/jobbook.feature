Feature: The owner's copy of a record is never replaced by an older one

  Scenario: The watch delivers a cancellation before the answer to the owner's own write
    A script submits a job and cancels it at once. The owner's record of the start is
    written, a cancellation is written over it, and the watch delivers the cancellation
    before the answer to the start arrives. If the answer replaced the newer record, the
    job would run to its end although it was cancelled.

    Given a record of a job that is just being started
    When the watch delivers its cancellation before the answer to the write of the start
    Then the owner's copy shows the cancellation
    And the write of the start counts as made

  Scenario: A newer change arrives before the answer to a read of the record
    The owner reads one record again. Before the answer arrives a caller cancels the
    job, and the watch delivers the cancellation first.

    Given a record of a job that is just being started
    When the watch delivers its cancellation before the answer to a read of it
    Then the owner's copy shows the cancellation
