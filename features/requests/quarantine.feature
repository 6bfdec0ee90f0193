Feature: Bad workers are told from bad jobs

  Scenario: A worker that fails what succeeds elsewhere is put in quarantine
    A worker with a broken accelerator fails every task within a second, so it is
    free again first and draws in job after job.
    Given a ledger of 16 workers
    When 5 jobs fail on "worker-3" and succeed on "worker-4"
    Then "worker-3" alone is in quarantine

  Scenario: A job that fails everywhere condemns no worker
    A render with a broken scene fails wherever it starts. If the workers were
    blamed, one job could put a whole cell out of use.
    Given a ledger of 16 workers
    When job "broken" fails on every worker 4 times while others succeed there
    Then no worker is in quarantine
    And "broken" is called a bad job and "job-1" is not

  Scenario: One class of short requests is enough to find a bad worker
    Where all requests are of one class, there is nothing to cross but workers.
    Given a ledger of 16 workers
    When class "quote" fails 8 times on "worker-3" and succeeds on all others
    Then "worker-3" alone is in quarantine

  Scenario: A class that fails half of the time condemns no worker
    Its failures fall on all workers alike; one of them would be blamed by chance.
    Given a ledger of 16 workers
    When class "flaky" fails each second of 20 runs on every worker
    Then no worker is in quarantine

  Scenario: No more than a quarter of a cell is in quarantine
    A bad release makes half of the workers fail. With all of them out of use, the
    cell could not hold what its organisations were promised.
    Given a ledger of 16 workers
    When 8 jobs fail on each of the first 8 workers and succeed on the others
    Then 4 workers are in quarantine

  Scenario: Canaries let a mended worker back, and rest is longer after a failure
    A worker is mended. Without a try it would never work again; with ordinary
    work as the try, a job would be lost if it is not mended.
    Given a ledger of 16 workers
    When 5 jobs fail on "worker-3" and succeed on "worker-4"
    Then a canary may run on "worker-3" after 30 seconds and not before
    When a canary fails on "worker-3"
    Then a canary may run on "worker-3" after 60 seconds and not before
    When 3 canaries succeed on "worker-3"
    Then no worker is in quarantine

  Scenario: A smaller share in the settings lets workers back
    An operator lowers the share while workers are in quarantine. An accepted
    setting holds everywhere, for what was decided before as well.
    Given a ledger of 16 workers
    When 8 jobs fail on each of the first 8 workers and succeed on the others
    And the share for quarantine is set to 2 of 16
    Then 2 workers are in quarantine
