Feature: Quarantine of bad workers, and poison jobs

  Scenario: A worker that fails work which succeeds elsewhere is put in quarantine
    A worker with a broken accelerator fails every task within a second, so it is
    always the first to be free and attracts job after job.
    Given a ledger of 16 workers
    When 5 jobs fail on "worker-3" and succeed on "worker-4"
    Then "worker-3" alone is in quarantine

  Scenario: A job that fails everywhere puts no worker in quarantine
    A render with a broken scene fails wherever it starts. If its failures counted
    against the workers, one job could put a whole cell out of use.
    Given a ledger of 16 workers
    When job "broken" fails on every worker 4 times while others succeed there
    Then no worker is in quarantine
    And "broken" is a bad job and "job-1" is not

  Scenario: One class of short requests is enough to find a bad worker
    If all requests are of one class, only its results on other workers show that a
    worker is at fault.
    Given a ledger of 16 workers
    When class "quote" fails 8 times on "worker-3" and succeeds on all others
    Then "worker-3" alone is in quarantine

  Scenario: A class that fails half of the time puts no worker in quarantine
    Its failures are spread over all workers evenly, so none of them is at fault.
    Given a ledger of 16 workers
    When class "flaky" fails each second of 20 runs on every worker
    Then no worker is in quarantine

  Scenario: No more than a quarter of a cell is in quarantine
    A bad release makes half of the workers fail. With all of them in quarantine, the
    cell could not hold its organisations' guarantees.
    Given a ledger of 16 workers
    When 8 jobs fail on each of the first 8 workers and succeed on the others
    Then 4 workers are in quarantine

  Scenario: Canaries release a repaired worker, and a failed one delays the next
    Without a test run a repaired worker would stay in quarantine for ever; with
    ordinary work as the test, a job would be lost if the worker still fails.
    Given a ledger of 16 workers
    When 5 jobs fail on "worker-3" and succeed on "worker-4"
    Then a canary may run on "worker-3" after 30 seconds and not before
    When a canary fails on "worker-3"
    Then a canary may run on "worker-3" after 60 seconds and not before
    When 3 canaries succeed on "worker-3"
    Then no worker is in quarantine

  Scenario: A smaller share in the settings releases workers
    An operator lowers the share while workers are in quarantine. An accepted setting
    also applies to earlier decisions.
    Given a ledger of 16 workers
    When 8 jobs fail on each of the first 8 workers and succeed on the others
    And the share for quarantine is set to 2 of 16
    Then 2 workers are in quarantine
