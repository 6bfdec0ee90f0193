Feature: The capacity page says what was measured

  Someone plans a fleet by the page. If a figure on it were typed in by hand and a
  later measurement changed it, they would buy too few VMs.

  Scenario: The page is what the figures make it
    Then the capacity page equals what the measured figures make
