Feature: The operators' view of a cell doesn't depend on how long its owner has run

  Scenario: A cell goes to another owner after jobs have finished
    The cells are redistributed among placers, and the next owner starts without the
    state that the former one kept in memory. Operators would be told that no job had
    finished yet, although the callers have the results.
    Given finished jobs of a cell that took 4, 6 and 11 s
    When another process becomes the owner of the cell
    Then operators are shown a completion time of 6 s
