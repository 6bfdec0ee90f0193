Feature: Values that others wrote end nothing
  Guards against values that no decoder accepts and that raise an error of another kind.

  Scenario Outline: A value is nested about as deeply as the stack allows
    Guards against handlers of decoding errors that a nested value passes by.
    Then decoding <codec> of 900 to 1100 levels fails as undecodable or succeeds

    Examples:
      | codec       |
      | JSON        |
      | MessagePack |

  Scenario: A record that others wrote is nested too deeply
    Guards against a decoder of its own for one kind of record.
    Then every decoder of records fails as undecodable for 5000 levels

  Scenario Outline: A caller sends an odd job
    Guards against "may have run" for a body with which nothing was done.
    When a job is submitted with <body>
    Then it is answered 400

    Examples:
      | body                                |
      | 3000 nested objects in an odd field |
      | 200000 nested lists                 |
      | a processor of 5000 digits          |
      | a processor of 30 digits            |
      | an interval of 1e999                |
      | an interval of 5000 digits          |
      | 30 digits of most per worker        |
      | a lone surrogate                    |
      | bytes that are no text              |

  Scenario: A caller repeats a key in a job
    Guards against refusing what other readers of JSON take.
    When a job is submitted with two counts
    Then it is answered 200

  Scenario Outline: Another writer puts an odd entry into a list
    Guards against a process that ends, or that follows the list no more.
    Given a follower of <list>
    When another writer puts an entry that is <odd> into the list
    And a usable entry follows
    Then the follower shows the usable entry and still runs
    And one warning names the odd entry

    Examples:
      | list      | odd        |
      | processes | nested     |
      | processes | cut short  |
      | cells     | nested     |
      | cells     | cut short  |
      | jobs      | nested     |
      | jobs      | cut short  |
      | settings  | nested     |
      | settings  | cut short  |

  Scenario Outline: The odd entry is there when the list is first read
    Guards against a process that can't begin.
    Given an entry of <list> that is nested
    And a follower of <list>
    When a usable entry follows
    Then the follower shows the usable entry and still runs

    Examples:
      | list      |
      | processes |
      | cells     |
      | jobs      |
      | settings  |

  Scenario Outline: An odd entry is put over a usable one
    Guards against taking a process, an owner or a job for gone.
    Given a follower of <list>
    When a usable entry follows
    And another writer overwrites it
    Then the follower shows the usable entry and still runs

    Examples:
      | list      |
      | processes |
      | cells     |
      | jobs      |

  Scenario: The record of a claim's holder can't be read
    Guards against sending a request again whose first sending may be under way.
    Given an entry of processes that is nested
    And a follower of processes
    Then the holder of that name counts as alive

  Scenario: A claim can't be read
    Guards against sending a request again that may have run.
    Given a claim that another writer has overwritten
    Then a repeated request is told outcome_unknown
    And the claim is unchanged

  Scenario Outline: A worker's entry names an odd address
    Guards against calls to addresses that no worker has.
    Then the address <address> is rejected

    Examples:
      | address              |
      | [::1%a b]:80         |
      | [fe80::1%eth0]:80    |
      | 255.255.255.255:80   |
      | 224.0.0.1:80         |
      | 0.0.0.0:80           |
      | [::]:80              |
      | [ff02::1]:80         |
      | 10.0.0.1:65536       |
      | 10.0.0.1:0           |
      | 10.0.0.1:+80         |
