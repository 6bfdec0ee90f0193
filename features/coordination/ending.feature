Feature: A program shuts down cleanly on a signal

  Scenario: Services use their connections until the program has drained
    Guards against connections that are closed while a service still uses them. During
    a rolling update the programs repair their settings from one another; such a program
    exits with an error, operators see a failed unit in each update under load, and what
    the other services still had to finish is interrupted.
    Given a program with a service that sends requests to a peer continuously
    When it gets SIGTERM and drains for 0.2 s
    Then it ends without an error, and its connections are closed
