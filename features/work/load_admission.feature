Feature: Callers are refused at once where their result would come too late
  At several times the capacity, callers are accepted, wait until their result is
  useless, and could have been told at once. A wrong refusal costs them more than a late
  result, so in every doubt a job is accepted as before.

  Scenario Outline: A job is refused only where it is certainly of no use: <what>
    The queue's objective is three times the work and a second: 7 s for a task of 2 s;
    past 21 s a result is useless. Guards against refusals of jobs that may get room.
    Given an expected wait of <wait> s, or <fresh> s before late work
    And an organisation with <guarantee> guaranteed accelerators that uses <total> for urgent work, <staying> of it for long
    When its <kind> job of one task with <needed> accelerators is judged by a summary of <age> s
    Then the judgement is <verdict>

    Examples:
      | what                          | wait | fresh | guarantee | total | staying | kind      | needed | age | verdict    |
      | still useful                  | 28.4 | 28.4  | 0         | 0     | 0       | usual     | 8      | 0.5 | accepted   |
      | useless                       | 28.6 | 28.6  | 0         | 0     | 0       | usual     | 8      | 0.5 | overloaded |
      | goes before late work         | 60   | 7.4   | 0         | 0     | 0       | usual     | 8      | 0.5 | accepted   |
      | late itself                   | 60   | 7.6   | 0         | 0     | 0       | usual     | 8      | 0.5 | overloaded |
      | old summary                   | 60   | 60    | 0         | 0     | 0       | usual     | 8      | 3.1 | accepted   |
      | rate unknown                  | 0    | 0     | 0         | 0     | 0       | usual     | 8      | 0.5 | accepted   |
      | smaller than all that wait    | 60   | 60    | 0         | 0     | 0       | usual     | 3      | 0.5 | accepted   |
      | other label than all          | 60   | 60    | 0         | 0     | 0       | labelled  | 8      | 0.5 | accepted   |
      | repeating                     | 60   | 60    | 0         | 0     | 0       | repeating | 8      | 0.5 | accepted   |
      | service                       | 60   | 60    | 0         | 0     | 0       | daemon    | 8      | 0.5 | accepted   |
      | urgent in guarantee           | 60   | 60    | 16        | 16    | 8       | urgent    | 8      | 0.5 | accepted   |
      | urgent beyond guarantee       | 60   | 60    | 16        | 16    | 9       | urgent    | 8      | 0.5 | overloaded |
      | urgent without guarantee      | 60   | 60    | 0         | 0     | 0       | urgent    | 8      | 0.5 | overloaded |
      | urgent work in guarantee      | 60   | 60    | 16        | 16    | 16      | usual     | 8      | 0.5 | accepted   |
      | urgent work beyond guarantee  | 60   | 60    | 16        | 17    | 17      | usual     | 8      | 0.5 | overloaded |
      | larger than any worker        | 0    | 0     | 0         | 0     | 0       | usual     | 9      | 0.5 | never_fits |
      | too large, old summary        | 0    | 0     | 0         | 0     | 0       | usual     | 9      | 3.1 | accepted   |
      | too large, urgent             | 0    | 0     | 16        | 0     | 0       | urgent    | 9      | 0.5 | never_fits |

  Scenario Outline: In a queue that is too long, those over their share are told so
    Given an expected wait of 60 s, or 60 s before late work
    And an organisation with <guarantee> guaranteed accelerators that uses 99 for urgent work, 99 of it for long
    And <own> jobs of it wait beside <others> of another with 30 guaranteed
    When its usual job of one task with 8 accelerators is judged by a summary of 0.5 s
    Then the judgement is <verdict>

    Examples:
      | guarantee | own | others | verdict    |
      | 10        | 25  | 75     | overloaded |
      | 10        | 26  | 74     | over_quota |
      | 30        | 26  | 74     | overloaded |

  Scenario: Callers who are refused together return apart, within the bounds
    Then any time to return is of 1 to 10 whole seconds, and within a fifth and a second
    And 200 callers who are told to return after about 8 s do so over 3 s or more

  Scenario: Whatever waits, a job within its guarantee or at an unknown rate is accepted
    Then no drawn load refuses urgent work within its guarantee, or any at an unknown rate

  Scenario: A wait counts what goes before a new job and is still of use
    Guards against refusals for work that waits behind the new job or is of no use any
    more, or by a rate that a new owner can't know yet.
    Given 2 workers of 8 accelerators, one labelled big, under an owner of 5 s
    And 40 accelerators were started on in the last 5 s
    And usual jobs of 8 accelerators that wait since 0, 0, 15 and 30 s, and patient ones since 0 s
    When the owner sums up the load
    Then usual jobs wait 24 accelerators in all, 3 s, and 2 s before late work
    And patient jobs wait 8 accelerators in all, 4 s, and 3 s before late work
    And the largest worker has 8 accelerators, also after all workers are gone
    And an owner of 4 s knows no rate

  Scenario: A summary of very many queues and organisations is cut to its bound
    Given 300 queues in which 400 organisations with long names wait
    When the owner sums up the load
    Then the summary has at most 64000 bytes, and still names the longest queue

  Scenario Outline: By itself it is on where guarantees are uneven
    Given organisations with keys are guaranteed <guarantees> accelerators
    Then guarantees are <found>

    Examples:
      | guarantees | found  |
      | 0, 0, 0    | even   |
      | 8, 8, 8    | even   |
      | 8, 8, 16   | even   |
      | 8, 8, 23   | even   |
      | 8, 8, 24   | uneven |
      | 0, 0, 1    | uneven |

  Scenario Outline: A refusal tells its caller the reason and when to return
    Given a VM whose fleet is <load>
    When a caller submits a job to that VM
    Then it is answered <status> with the reason <reason>, to return within 1 to 10 s
    And its refusal is counted, logged with the summary's age, and printed by explain

    Examples:
      | load            | status | reason     |
      | overloaded      | 503    | overloaded |
      | over the share  | 429    | over_quota |
      | too small       | 503    | never_fits |

  Scenario: Where it is off, nothing is computed, served or fetched
    Given a fleet of 2 workers and 2 processes, with admission control off
    When the fleet gets 3 times its load for 10 s
    Then no process was asked for the load, and the owner has no summary
    And a process answers 404 to a query for its summary, and one that has one sends it

  Scenario: At three times the capacity, callers who return as told are admitted
    The owner is killed in the middle. Guards against callers who are sent away for good,
    against refusals that take long, and against guaranteed urgent work being refused.
    Given a fleet of 3 workers and 6 processes, with admission control on
    When the fleet gets 3 times its load for 36 s, and its owner is killed after 24 s
    Then at least 10 callers were refused, each within 0.05 s
    And at least four fifths of those were admitted
    And none was refused while the accepted jobs could all end within 21 s
    And no guaranteed urgent job was refused
    And no process had more than one query for the load at a time

  Scenario Outline: Without a recent summary everything is accepted: <what>
    Given a fleet of 3 workers and 3 processes, with admission control on
    When the fleet is overloaded until callers of a VM are refused
    And <fault>, and 4 s pass
    Then the VM accepts a job as before
    And <logged>

    Examples:
      | what                   | fault                       | logged                              |
      | owner silent           | the owner answers no query  | nothing more is logged              |
      | VM cut off             | the VM's queries are lost   | nothing more is logged              |
      | unreadable summary     | summaries become unreadable | the unreadable summary is logged once |

  Scenario: A summary of a former owner refuses nothing
    Given a fleet of 3 workers and 3 processes, with admission control on
    When the fleet is overloaded until callers of a VM are refused
    And another process becomes the owner
    Then the VM accepts a job as before
    And a late summary of the former owner, or an older one, is dropped

  Scenario: The summary of an owner that makes no decisions counts as old
    Guards against refusals by a summary that was made just now of a state that is
    seconds old.
    Given a fleet of 3 workers and 3 processes, with admission control on
    When the fleet is overloaded until callers of a VM are refused
    And the owner can't read the list of workers for 5 s
    Then the owner's summary is at least 3 s old

  Scenario: A job that may have been accepted before is never refused
    Guards against a caller who is told that its job was not accepted, which then runs.
    Given a fleet of 3 workers and 3 processes, with admission control on
    When the store loses the answer to a submission, and its caller gives up
    And the fleet is overloaded until callers of a VM are refused
    Then the VM accepts that job again, and also one that has ended

  Scenario: While the store is silent no job is refused under load
    The store can't tell whether the job was accepted before, so the job gets the answer
    that it would get without this feature.
    Given a fleet of 3 workers and 3 processes, with admission control on
    When the fleet is overloaded until callers of a VM are refused
    And the store answers that VM nothing more
    Then a caller of the VM is not refused under load
