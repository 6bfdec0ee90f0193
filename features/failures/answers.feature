Feature: Answers of targets come late, crossed or cut short

  Scenario: Targets give answers late, of other requests, or half
    Some targets answer late, some give the answer to the request before, and
    some end half-way. A clerk who is given another's quote would sell a parcel at
    the wrong price without a sign that anything is amiss.

    Given 3 VMs serve requests
    And a third of the targets each answers late, crossed, or cut short
    When 90 previews and 30 passes are sent side by side
    Then each caller has its own whole answer or an error that is true
    And some answers were caught
