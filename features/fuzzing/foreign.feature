Feature: Whatever others write, what is good holds and nothing ends

  Valid entries, answers and items are changed byte by byte and field by field. The
  good ones beside them are read as before, nothing is raised but the declared failure,
  and no task of the owner ends.

  Scenario: Workers' entries
    Then 400 changed workers' entries leave the others as they are

  Scenario: Items of the store
    Then 400 changed items of the store leave the others as they are

  Scenario: Workers' answers
    Then 600 changed rows of a worker's answer are never taken as news
    And 300 changed answers of a worker are read or fail as declared

  Scenario: Waves, VMs, advice and refusals
    Then 200 changed waves leave the others as they are
    And 200 changed VMs are never taken as gone
    And 200 changed rows of advice leave the others as they are
    And 200 changed refusals are known or fail as declared

  Scenario: Configurations
    Then 300 changed configurations are read or fail as declared

  Scenario: A fleet at work
    Then 12 runs with changed values over and beside live workers go on as if nothing were
