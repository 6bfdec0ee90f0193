Feature: Answers of targets are late, swapped or truncated

  Scenario: Targets answer late, with another request's answer, or in part
    Some targets answer late, some return the answer to the previous request, and
    some truncate theirs. A clerk who receives another's quote would sell a parcel at
    the wrong price without any error.

    Given 3 VMs serve requests
    And a third of the targets each answers late, swapped or truncated
    When 90 previews and 30 passes are sent concurrently
    Then each caller has its own whole answer or a true error
    And some faulty answers were detected
