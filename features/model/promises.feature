Feature: The core protocol keeps its promises in every order of events

  An owner pauses, a store answer is lost, a worker dies and a caller tries again,
  all within the same second. No test of the running code meets every order of
  these, so small models of the protocol are swept whole.

  Scenario Outline: Every state of one model keeps its promises
    When the <model> model is swept with every guard in force
    Then the sweep is complete and no promise is broken
    And everything that the model should be able to show was seen

    Examples:
      | model       |
      | gang start  |
      | gang lease  |
      | moving      |
      | claims      |
      | submission  |
      | answers     |
      | settings    |
      | restart     |
      | drain       |
      | leaving     |
      | fleet task  |
      | fleet lease |

  Scenario: Every model is swept, and every guard belongs to a model
    Then the models and guards listed in this folder are all there are
