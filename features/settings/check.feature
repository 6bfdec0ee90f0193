Feature: Every fault of a settings file is shown, with what to do

  An operator edits the settings of a deployment by hand, at night, with work
  waiting. If the check stopped at the first fault, or let one through, the file
  would be mended in many rounds, or guarantees would be promised that the fleet
  cannot hold.

  Scenario Outline: The example deployments have no fault
    Given the settings file of the <name> example
    When the settings file is checked
    Then no settings fault is found

    Examples:
      | name        |
      | domeworks   |
      | thistlegate |

  Scenario: A file with many faults shows each of them
    Several hands have edited one file. Whoever mends it wants the whole list.
    Given the settings file of the domeworks example
    And in it fleet.workers[0].rack is "nowhere"
    And in it fleet.workers[1].accelerators is "eight"
    And in it fleet.workers[2].slots is -1
    And in it fleet.workers[3].colour is "blue"
    And in it fleet.workers[4].name is "osborne-1"
    And in it fleet.racks[0].failure_domain is "atlantis"
    And in it teams[0].organisation is "strangers"
    And in it policy.patient_share is 20
    And in it teams[1].classes[0].urgency is "soon"
    When the settings file is checked
    Then the settings faults stand exactly at
      | path                          |
      | fleet.workers[0].rack         |
      | fleet.workers[1].accelerators |
      | fleet.workers[2].slots        |
      | fleet.workers[3].colour       |
      | fleet.workers[4].name         |
      | fleet.racks[0].failure_domain |
      | teams[0].organisation         |
      | policy.patient_share          |
      | teams[1].classes[0].urgency   |
    And each settings fault says what to do next

  Scenario Outline: Each sort of fault is found where it stands
    Given the settings file of the domeworks example
    And in it <place> is <value>
    When the settings file is checked
    Then a settings fault stands at <fault>

    Examples:
      | place                                         | value            | fault                                 |
      | guarantees.guarantees[0].count                | 20               | guarantees.guarantees                 |
      | guarantees.guarantees[0].shape.accelerators   | 9                | guarantees.guarantees[0].shape        |
      | guarantees.guarantees[0].organisation         | "strangers"      | guarantees.guarantees[0].organisation |
      | fleet.cells[0].racks                          | []               | fleet.racks[0]                        |
      | fleet.cells[0].racks                          | ["malaga-rack-1"] | fleet.cells[1].racks[0]              |
      | fleet.workers[0].address                      | "worker.example:80" | fleet.workers[0].address           |
      | teams[0].classes[0].shape                     | null             | teams[0].classes[0].shape             |
      | teams[0].classes[2].shape                     | {"accelerators": 1} | teams[0].classes[2].shape          |
      | teams[0].classes[2].deadline_seconds          | 0.1              | teams[0].classes[2].deadline_seconds  |
      | teams[0].classes[1].name                      | "starfield-render" | teams[0].classes[1].name            |
      | teams[1].name                                 | "show-production" | teams[1].name                        |
      | policy.completion_weight                      | NaN              | policy.completion_weight              |
      | policy.queue_limit                            | 1.5              | policy.queue_limit                    |
      | teams[0].keys[0].scope                        | "everything"     | teams[0].keys[0].scope                |
      | extra                                         | 1                | extra                                 |

  Scenario Outline: A file that is no settings document is answered by a fault
    An editor saved half of the file, or the wrong file was named.
    Given the settings text <text>
    When the settings file is checked
    Then some settings fault is found

    Examples:
      | text                                     |
      | {"fleet": {                              |
      | []                                       |
      | null                                     |
      | {"fleet": [1, 2]}                        |
      | {"policy": {}, "policy": {}}             |
      | {"teams": [{"name": {"deep": ["x"]}}]}   |
      | {"fleet": {"workers": "none"}}           |

  Scenario: Whatever the file holds, the check answers and never breaks
    A file can hold any JSON at any place. A traceback would tell the operator
    nothing, and would hide the faults behind it.
    Then checking a settings file with any JSON at any place gives faults or none

  Scenario: A token pasted where its hash belongs is not repeated
    An operator pastes the bearer token itself. If the fault showed it, the token
    would stand in terminals, logs and tickets.
    Given the settings file of the domeworks example
    And in it teams[0].keys[0].sha256 is "a-plain-token"
    And in it teams[1].keys[0].sha256 is "a-plain-token"
    When the settings file is checked
    Then a settings fault stands at teams[0].keys[0].sha256
    And no settings fault shows "a-plain-token"

  Scenario Outline: The workers of a failure domain are checked within the whole picture
    The other parts stand at paths of their own. A worker in a rack that nobody knows,
    under a name that stands twice, or gone from under a guarantee would be noticed
    only when work is lost.
    Given the settings file of the domeworks example in force
    When the workers of osborne are to be changed so that <change>
    Then the change of workers has a fault at <fault>

    Examples:
      | change                                 | fault                        |
      | the first stands in rack nowhere       | workers/osborne[0].rack      |
      | the second stands in rack malaga-rack-1 | workers/osborne[1].rack     |
      | the third is named malaga-1            | workers/osborne[2].name      |
      | the fourth has the address of the third | workers/osborne[3].address  |
      | all are gone                           | guarantees.guarantees        |
      | it is no list                          | workers/osborne              |

  Scenario: The fleet is checked with the workers that stand at other paths
    A rack that goes or moves would leave its workers behind, and they would vanish
    from every cell without a word.
    Given the settings file of the domeworks example in force
    Then a fleet with its workers in it is refused at fleet.workers
    And a fleet whose osborne rack is gone is refused at fleet.workers[0].rack
    And a fleet whose osborne rack moves is refused at fleet.racks[0].failure_domain

  Scenario: A load moves a rack and its workers by steps that are each accepted
    The file holds the end and not the way. One wrong order would be refused in the
    middle, and leave the settings half changed.
    Given the settings file of the domeworks example in force
    Then loading a file in which a spare rack of osborne came and moved is accepted

  Scenario: A change is refused for its own faults and not for older ones
    A stored team is faulty by a newer rule. Another team's operator can still
    change that team, and the faulty one can be mended.
    Given the settings file of the domeworks example in force
    And team archive-captions in force has an unknown organisation
    Then changing teams/dome-operations to quota 32 is accepted
    And changing teams/archive-captions to quota 32 is refused
    And removing the organisation schools is refused at teams[2].organisation
