Feature: Malformed values of other programs do not affect valid ones

  Valid entries, answers and items are mutated byte by byte and field by field. The valid
  ones beside them are read as before, only the declared failure is raised, and no
  coroutine of the owner ends.

  Scenario: Workers' entries
    Then 400 changed workers' entries leave the others as they are

  Scenario: Items of the store
    Then 400 changed items of the store leave the others as they are

  Scenario: Workers' answers
    Then 600 changed rows of a worker's answer never count as absent
    And 300 changed answers of a worker are read or fail as declared

  Scenario: Waves, VMs, advice and refusals
    Then 200 changed waves leave the others as they are
    And 200 changed VMs never count as removed
    And 200 changed rows of advice leave the others as they are
    And 200 changed refusals are decoded or fail as declared

  Scenario: Configurations
    Then 300 changed configurations are read or fail as declared

  Scenario: A running fleet
    Then 12 runs are undisturbed by changed entries over and beside those of live workers
