Feature: The core protocol keeps its properties in every order of events

  An owner pauses, a store answer is lost, a worker dies and a caller retries, all
  within the same second. No test of the running code covers every order of these,
  so small models of the protocol are explored exhaustively.

  Scenario Outline: Every state of one model keeps its properties
    When the <model> model is explored with every guard on
    Then the exploration is complete and no property is broken
    And every witness of the model was reached

    Examples:
      | model       |
      | gang start  |
      | gang lease  |
      | moving      |
      | claims      |
      | submission  |
      | cancelling  |
      | answers     |
      | settings    |
      | restart     |
      | drain       |
      | leaving     |
      | fleet task  |
      | fleet lease |

  Scenario: Every model is explored, and every guard belongs to a model
    Then the models and guards listed in this folder are all there are
