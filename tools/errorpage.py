"""Generates docs/errors.md from the tables of errors and of exit codes.

    python -m tools.errorpage

A feature checks that the page agrees with the tables, which a page written by hand
would not stay.
"""

from pathlib import Path

from primrosestile.errors import ANSWERS, Answer, ErrorKind, Failure
from primrosestile.programs.cli_output import (
    EXIT_MEANINGS,
    choose_exit,
    make_failure_body,
)

PAGE = Path(__file__).resolve().parent.parent / "docs" / "errors.md"

INTRODUCTION = """\
# Errors

Generated from `src/primrosestile/errors.py` by `python -m tools.errorpage`.

Every refusal and failure has one of these kinds. A caller acts on two fields:

- **Ran**: after `not run` the work can be sent again without risk. After `may have
  run` it can be sent again only if it is idempotent, or under the same
  `X-Request-Id`.
- **Retry after**: seconds to wait before a retry; an answer may give a more exact
  figure. Without one, a retry is of no use unless something is changed first.

The body of an answer is
`{"error", "detail", "ran", "remedy", "retry_after", "request_id"}`, and `Retry-After`
is set where there is a figure. `invalid_settings` also has
`"faults": [{"path", "reason", "remedy"}]`.
"""

EXITS = """\

## Exit codes of the command line

| code | meaning |
|---|---|
"""


def render_page() -> str:
    lines = [
        INTRODUCTION,
        "| kind | status | ran | retry after | exit code | what to do |",
        "|---|---|---|---|---|---|",
    ]
    lines += [render_row(kind, ANSWERS[kind]) for kind in ErrorKind]
    exits = [f"| {code.value} | {text} |" for code, text in EXIT_MEANINGS.items()]
    return "\n".join(lines) + "\n" + EXITS + "\n".join(exits) + "\n"


def render_row(kind: ErrorKind, answer: Answer) -> str:
    wait = "" if answer.retry_after is None else f"{answer.retry_after:g} s"
    code = choose_exit(make_failure_body(Failure(kind))).value
    cells = (
        f"`{kind.value}`",
        str(answer.status),
        answer.ran.value,
        wait,
        str(code),
        answer.remedy,
    )
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    PAGE.write_text(render_page())


if __name__ == "__main__":
    main()
