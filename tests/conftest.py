"""Known failures: tests listed in KNOWN-RED.txt may fail, and are reported with their cause and issue."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import pytest

LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of KNOWN-RED.txt: `test | cause | issue`."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownFailure]:
    """Parses the list. Raises ValueError on a malformed line, and on more failures than are allowed."""
    found = []
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            test, cause, issue = (part.strip() for part in line.split("|"))
            found.append(KnownFailure(test, cause, issue))
    if len(found) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{len(found)} known failures, {MAX_KNOWN_FAILURES} are allowed")
    return found


def known_failures() -> list[KnownFailure]:
    """Reads KNOWN-RED.txt; returns an empty list if there is none."""
    return read(LIST.read_text(encoding="utf-8")) if LIST.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests, and no others, as expected failures."""
    known = {failure.test: failure for failure in known_failures()}
    for item in items:
        failure = known.get(item.nodeid)
        if failure is not None:
            reason = f"{failure.cause} (issue {failure.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints each listed test with its outcome in this run."""
    for failure in known_failures():
        outcomes = [
            name
            for name in ("xfailed", "xpassed", "error")
            for report in terminalreporter.stats.get(name, [])
            if report.nodeid == failure.test
        ]
        outcome = outcomes[0] if outcomes else "not run"
        terminalreporter.write_line(
            f"KNOWN-RED: {failure.test}: {failure.cause} (issue {failure.issue}): {outcome}"
        )
