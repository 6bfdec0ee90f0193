Feature: A process asks another one whether the store answers it

  Scenario Outline: What becomes of the question
    A caller waits for the answer, so it takes no longer than a moment.
    Given a process that <behaviour>
    When it is asked whether the store answers
    Then the answer is <view>, within 2 s

    Examples:
      | behaviour     | view    |
      | says yes      | answers |
      | says no       | away    |
      | never answers | silent  |
      | is not there  | absent  |
