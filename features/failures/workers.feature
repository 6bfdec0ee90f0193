Feature: Workers and jobs that fail, leave or are cut off

  Scenario: A worker fails every task, and a job fails everywhere
    A worker's driver is broken: whatever starts there fails at once, so it is
    always free and would take one render after the other. Beside it a producer
    has submitted a scene that no worker can render. Neither may take the others'
    work down with it.

    Given 3 VMs hold the cells
    And a worker on which work runs begins to fail every task
    When 24 small jobs are submitted, and one that fails everywhere
    Then that worker is in quarantine and no other
    And the job that fails everywhere ends as failed, and the others finish

  Scenario: Targets leave under load
    One worker is shown as leaving by the VM list only, another says so itself
    before the list does. What is given to them after that is cut off when they
    go: a caption pass of which nobody knows whether it ran.

    Given 3 VMs hold the cells
    And gangs run on a worker and on another
    When the VM list shows the one as leaving and the other says so, under load
    Then neither got new work after 5 seconds and the list's lag
    And what ran there has finished there or elsewhere, and every preview was answered

  Scenario: All workers of a failure domain are cut off
    A switch fails, and nothing reaches the workers of a whole failure domain. The
    renders there go on unseen until their leases lapse. An organisation with a
    guarantee still wants its eight GPUs for tonight.

    Given 3 VMs hold the cells
    And gangs run on a worker and on another
    When all workers of the failure domain where they run are cut off
    And an organisation submits jobs for its whole guarantee
    Then the jobs for the guarantee and the gangs have finished elsewhere, once
