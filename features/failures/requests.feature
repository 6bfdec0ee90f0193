Feature: Short requests survive failures of an entry

  Scenario: An entry dies while caption passes are in flight
    An entry's VM is lost; its callers' connections break, and they retry the same
    ids at another entry. A pass that ran twice would bill a client twice. If the
    answer stayed "in progress" for ever, the caller could never proceed.

    Given 3 VMs serve requests
    When 24 caption passes are sent to one entry, which is killed once 6 of them run
    And each caller repeats its pass at another entry until the answer is final
    Then each pass ran at most once, and what callers were told is true

  Scenario: An entry is paused between its claim and its sending
    An entry's VM is paused for longer than its lease, just when a pass is claimed
    or recorded as dispatched. Another entry answers it meanwhile; when the first
    resumes, it must not send the prepared request, or a client is billed twice.

    Given 3 VMs serve requests
    When an entry is paused while its claim is written, and a repeat ends elsewhere
    And an entry is paused while its dispatch is written, and a repeat ends elsewhere
    Then each pass ran at most once, and what callers were told is true
