Feature: What operators are shown of a cell doesn't depend on its owner's age

  Scenario: A cell goes to another owner after jobs have finished
    Cells are shared out anew among placers, and the next owner begins without what the
    former one had kept for itself. Operators who look at the fleet would be told that
    no job had finished yet, though their callers have the results.
    Given finished jobs of a cell that took 4, 6 and 11 s
    When another process becomes the owner of the cell
    Then operators are shown a completion time of 6 s
