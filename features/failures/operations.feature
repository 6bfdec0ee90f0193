Feature: Rolling restarts, racing operators and mass cancellations

  Scenario: Every VM is shut down in turn under load
    The VMs are upgraded to a new version one by one in the middle of the day. The
    load balancer sees each change with a lag. A clerk's quote that is interrupted or
    refused holds up the queue at the till although nothing has failed.

    Given 3 VMs serve requests and operators
    And 3 gangs of 15 seconds run
    And callers follow the readiness of entries with a lag
    When each VM in turn is shut down and replaced
    Then each program exited with code 0
    And no request was interrupted or refused
    And all gangs end without a second start

  Scenario: Two operators change one path at the same time
    Two operators edit the same page and submit it through two stewards at the same
    time. If both changes were reported as accepted, one of them would be lost.

    Given 3 VMs serve requests and operators
    When two operators send a change of the same revision at once, 6 times
    Then each time one was accepted and the other was told of a conflict
    And every process has the last accepted change

  Scenario: Two guarantees are valid separately but not together
    Two operators each raise an organisation's guarantee through two stewards. The
    fleet can keep either but not both. If both were accepted, one organisation would
    request its guaranteed shape and not get it.

    Given 3 VMs serve requests and operators
    When two operators raise the guarantees of two organisations at once
    Then one raise was accepted and the other was told of a conflict
    And the other's raise on top of it is refused with the reason
    And every process has the last accepted change

  Scenario: Mass cancellation
    A show is called off, and a script cancels the 200 jobs that it has just
    submitted. Cancelled jobs must not run, and other renders must not wait for
    them.

    Given 3 VMs serve requests
    And 3 gangs of 8 seconds run
    When 200 jobs are submitted and each is cancelled at once
    Then all of them end as cancelled and none of them runs to its end
    And all gangs end without a second start
