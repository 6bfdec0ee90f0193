Feature: Every fault of a settings file is reported with a remedy

  An operator edits the settings of a deployment by hand, perhaps during an
  incident. If the check stopped at the first fault, correcting the file would take
  many attempts; if it missed one, guarantees could be accepted that the fleet cannot
  hold.

  Scenario Outline: The example deployments have no fault
    Given the settings file of the <name> example
    When the settings file is checked
    Then no settings fault is found

    Examples:
      | name        |
      | domeworks   |
      | thistlegate |

  Scenario: All faults of a file are reported
    Several operators have edited one file, and it has many faults at once.
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
    Then the settings faults are exactly at
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
    And each settings fault has a remedy

  Scenario Outline: Each kind of fault is reported at its path
    Given the settings file of the domeworks example
    And in it <place> is <value>
    When the settings file is checked
    Then a settings fault is at <fault>

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

  Scenario Outline: A file that is not a settings document has a fault
    An editor saved half of the file, or the operator named the wrong file.
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

  Scenario: The check never raises an exception, whatever the file contains
    A file can hold any JSON at any place. A traceback would not help the operator, and
    it would hide other faults.
    Then checking a settings file with any JSON at any place gives faults or none

  Scenario: A token in place of its hash is not repeated
    An operator pastes the bearer token itself. If the fault showed it, the token
    would get into terminals, logs and tickets.
    Given the settings file of the domeworks example
    And in it teams[0].keys[0].sha256 is "a-plain-token"
    And in it teams[1].keys[0].sha256 is "a-plain-token"
    When the settings file is checked
    Then a settings fault is at teams[0].keys[0].sha256
    And no settings fault shows "a-plain-token"

  Scenario Outline: The workers of a failure domain are checked with all other settings
    The other settings are stored at paths of their own. A worker in an unknown rack,
    with a duplicate name, or removed although a guarantee needs it would otherwise be
    noticed only when work is lost.
    Given the settings file of the domeworks example in force
    When the workers of osborne are to be changed so that <change>
    Then the change of workers has a fault at <fault>

    Examples:
      | change                                 | fault                        |
      | the first is in rack nowhere           | workers/osborne[0].rack      |
      | the second is in rack malaga-rack-1    | workers/osborne[1].rack      |
      | the third is named malaga-1            | workers/osborne[2].name      |
      | the fourth has the address of the third | workers/osborne[3].address  |
      | all are gone                           | guarantees.guarantees        |
      | it is not a list                       | workers/osborne              |

  Scenario: The fleet is checked with the workers that are stored at other paths
    A rack that is removed or moved would be separated from its workers, and they
    would silently vanish from every cell.
    Given the settings file of the domeworks example in force
    Then a fleet with its workers in it is refused at fleet.workers
    And a fleet whose osborne rack is gone is refused at fleet.workers[0].rack
    And a fleet whose osborne rack moves is refused at fleet.racks[0].failure_domain

  Scenario: A load moves a rack and its workers in steps that are each accepted
    The file holds the result and not the steps. Steps in a wrong order would be
    refused half-way, and leave the settings half changed.
    Given the settings file of the domeworks example in force
    Then loading a file in which a spare rack of osborne was added and moved is accepted

  Scenario: A change is refused for its own faults and not for existing ones
    A stored team is faulty under a newer rule. Other teams can still be changed, and
    the faulty one can be corrected.
    Given the settings file of the domeworks example in force
    And team archive-captions in force has an unknown organisation
    Then changing teams/dome-operations to quota 32 is accepted
    And changing teams/archive-captions to quota 32 is refused
    And removing the organisation schools is refused at teams[2].organisation
