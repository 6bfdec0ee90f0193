Feature: VMs are replaced, operators race, and cancellations come in waves

  Scenario: Every VM is told to end in turn under load
    The VMs are rolled to a new version one by one in the middle of the day. The
    balancer notices with a lag. A clerk's quote that is cut off, or that finds
    no entry, leaves a queue at the till though nothing has failed.

    Given 3 VMs serve requests and operators
    And 3 gangs of 15 seconds run
    And callers follow the readiness of entries with a lag
    When each VM in turn is told to end and is replaced
    Then each program ended well
    And no request was cut off or refused
    And all gangs end without a second start

  Scenario: Two operators change one path at the same time
    Two operators edit the same page and send it through two stewards in the same
    moment. If both were told that it was accepted, one of them would find the
    own change gone.

    Given 3 VMs serve requests and operators
    When two operators send a change of the same revision at once, 6 times
    Then each time one was accepted and the other was told of a conflict
    And every process has the last accepted change

  Scenario: Two guarantees are valid apart and impossible together
    Two operators each promise an organisation more through two stewards. The
    fleet holds either but not both. If both stood, one organisation would call
    for its shape and not get it.

    Given 3 VMs serve requests and operators
    When two operators raise the guarantees of two organisations at once
    Then one raise was accepted and the other was told of a conflict
    And the other's raise on top of it is refused with the reason
    And every process has the last accepted change

  Scenario: A wave of cancellations
    A show is called off, and a script cancels the 200 jobs that it has just
    submitted. What was cancelled must not come back as work, and renders of
    others must not wait for it.

    Given 3 VMs serve requests
    And 3 gangs of 8 seconds run
    When 200 jobs are submitted and each is cancelled at once
    Then all of them end as cancelled and the workers run nothing of them
    And all gangs end without a second start
