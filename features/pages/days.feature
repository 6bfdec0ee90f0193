Feature: Fault scenarios of whole days

  Scenario: Each day states its purpose
    A day that breaks a rule is looked up by its name, and its purpose is the starting
    point for finding the cause.
    Then each file of deploy/days opens with its purpose and names itself

  Scenario Outline: The verdict on a day is read from the player's output
    Guards against a broken rule that is read as a clean day and never examined.
    When a player prints that <happened>
    Then the verdict on the day is <verdict>

    Examples:
      | happened                | verdict           |
      | two rules were broken    | broken            |
      | nothing was broken      | clean             |
      | the day does not fit    | left out          |
      | nothing at all          | left out          |
