Feature: A process asks the owner over HTTP for its summary of the load

  Scenario Outline: What becomes of the query
    Guards against a summary that can't be read, or that fills the link, being taken for
    the fleet's load, and against a query that goes on for long.
    Given an owner whose answer to a load query is <answer>
    When it is asked for the load
    Then the result is <result>, within 2 s

    Examples:
      | answer        | result     |
      | a summary     | a summary  |
      | 404           | none       |
      | broken        | malformed  |
      | of bad ranges | malformed  |
      | too large     | malformed  |
      | nested deeply | malformed  |
      | never sent    | no_target  |
