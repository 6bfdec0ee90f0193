Feature: A program that is told to end ends well

  Scenario: Services use their connections until the program has drained
    A VM is rolled while its programs repair their settings from one another. If a
    connection were closed under a service that goes on, the program would end with
    an error; operators see a failed unit in each roll beside load, and what the
    others still had to finish is cut off.
    Given a program of which a service asks a peer all the time
    When it is told to end while it drains for 0.2 s
    Then it ends without an error, and its connections are closed
