Feature: Workers and jobs that fail, leave or are partitioned

  Scenario: A worker fails every task, and a job fails everywhere
    A worker's driver is broken: every task fails there at once, so the worker is
    always free and would attract one render after the other. A producer has also
    submitted a scene that fails on every worker. Neither may make other work fail.

    Given 3 VMs hold the cells
    And a worker on which work runs begins to fail every task
    When 24 small jobs are submitted, and one that fails everywhere
    Then that worker is in quarantine and no other
    And the job that fails everywhere ends as failed, and the others finish

  Scenario: Targets leave under load
    One worker is reported as leaving by the VM list only, another reports it itself
    before the list does. Work sent to them after that is interrupted when they
    stop; the outcome of a caption pass would be unknown.

    Given 3 VMs hold the cells
    And gangs run on a worker and on another
    When the VM list reports one as leaving and the other reports it itself, under load
    Then neither got new work after 5 seconds and the list's lag
    And the jobs there have finished there or elsewhere, and every preview was answered

  Scenario: All workers of a failure domain are partitioned
    A switch fails, and no message reaches the workers of a whole failure domain. The
    renders there run on unobserved until their leases lapse. An organisation with a
    guarantee still needs its eight GPUs for tonight.

    Given 3 VMs hold the cells
    And gangs run on a worker and on another
    When all workers of the failure domain where they run are partitioned
    And an organisation submits jobs for its whole guarantee
    Then the jobs for the guarantee and the gangs have finished elsewhere, once
