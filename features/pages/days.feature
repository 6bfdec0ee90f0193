Feature: Days of trouble of our own

  Scenario: Each day says why it is there
    A day that breaks a promise is looked up by its name, and its purpose tells where
    to begin.
    Then each file of deploy/days opens with its purpose and names itself

  Scenario Outline: What a play came to is read from what the player prints
    A broken promise that is read as a clean day is never looked at again.
    When a player prints that <happened>
    Then the day is said to be <verdict>

    Examples:
      | happened                | verdict           |
      | two promises were broken | broken            |
      | nothing was broken      | clean             |
      | the day does not fit    | left out          |
      | nothing at all          | left out          |
