Feature: The capacity page contains the measured figures

  Guards against a figure that was typed in by hand and differs from a later
  measurement: whoever plans a fleet by the page would buy too few VMs.

  Scenario: The page is generated from the figures
    Then the capacity page equals the one generated from the measured figures
