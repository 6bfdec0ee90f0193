Feature: A caller gets the complete answer to its own request, or a correct error

  Scenario Outline: A request is answered completely, or refused as not run
    Given the stand-in accessed <how>
    When request "r1" of 0.01 seconds is sent to "w1" with 10 seconds to answer
    Then the answer to "r1" is its own, run and ok
    When the stand-in's faults become {"workers": {"w1": {"fail_requests": true}}}
    And request "r2" of 0.01 seconds is sent to "w1" with 10 seconds to answer
    Then the answer to "r2" is its own, run and not ok
    When the stand-in's faults become {"workers": {"w1": {"refuse_requests": true}}}
    And request "r3" of 0.01 seconds is sent to "w1" with 10 seconds to answer
    Then the answer to "r3" says that it was not run
    And the ledger shows 0 runs of request "r3"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A target that is down does not run a request
    Given the stand-in accessed <how>
    When the stand-in's faults become {"workers": {"*": {"down": true}}}
    And request "r1" of 0.01 seconds is sent to "w1" with 1 seconds to answer
    Then the stand-in's call failed as no_target
    And the ledger shows 0 runs of request "r1"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: An incomplete answer, or one to another request, is not returned
    Given the stand-in accessed <how>
    When request "r0" of 0.01 seconds is sent to "w1" with 10 seconds to answer
    And the stand-in's faults become {"workers": {"w1": {"<fault>": <value>}}}
    And request "r1" of 0.2 seconds is sent to "w1" with 1 seconds to answer
    Then the stand-in's call failed as outcome_unknown
    And the ledger shows <runs> runs of request "r1"
    When the stand-in's faults become {"workers": {"w1": {"<fault>": <off>}}}
    And request "r2" of 0.01 seconds is sent to "w1" with 10 seconds to answer
    Then the answer to "r2" is its own, run and ok
    Examples:
      | how       | fault        | value | off   | runs |
      | in memory | crossed      | true  | false | 1    |
      | over HTTP | crossed      | true  | false | 1    |
      | in memory | truncated    | true  | false | 1    |
      | over HTTP | truncated    | true  | false | 1    |
      | in memory | late_seconds | 3     | 0     | 1    |
      | over HTTP | late_seconds | 3     | 0     | 1    |
      | in memory | slow_factor  | 10    | 1     | 1    |
      | over HTTP | slow_factor  | 10    | 1     | 1    |
      | in memory | lose_answers | 1     | 0     | 1    |
      | over HTTP | lose_answers | 1     | 0     | 1    |
      | in memory | frozen       | true  | false | 0    |
      | over HTTP | frozen       | true  | false | 0    |

  Scenario: Silent connections delay one caller, not one each
    A middlebox has lost the state of all connections at once. A pool that kept them
    would make each of the next callers wait for a timeout.
    Given the stand-in accessed over HTTP
    When 6 requests of 0.3 seconds are sent to "w1" at once
    And the stand-in's faults become {"workers": {"w1": {"silent": true}}}
    And request "r1" of 0.01 seconds is sent to "w1" with 1 seconds to answer
    Then the stand-in's call failed as outcome_unknown
    When request "r2" of 0.01 seconds is sent to "w1" with 10 seconds to answer
    Then the answer to "r2" is its own, run and ok

  Scenario: No more connections are opened to a target than its limit
    Given the stand-in accessed over HTTP
    When 12 requests of 0.05 seconds are sent to "w1" at once
    Then at most 4 connections were open to "w1"
