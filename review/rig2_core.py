"""Shared by the scripts of cases 6 to 10: the record of a run, free ports, and the agent as a process.

Standard library only. Every address is a loopback address, every port a free one, every file but `record.txt`
in a temporary folder."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 30.0  # the gate: no call agent takes longer to be ready
SLACK_S = 0.05  # protocol page: every time limit grows by 50 ms
CLASS = "find-race"


class NotRunError(Exception):
    """The case could not be run on this machine now."""


class Record:
    """What was sent, answered and run, with Unix times, in `record.txt` of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start = time.time()
        self.note(f"unix {self.start:.3f}; TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> float:
        """Writes a line and returns its time, Unix s."""
        now = time.time()
        self.file.write(f"{now - self.start:9.3f} {text}\n")
        self.file.flush()
        return now

    def at(self, when: float) -> str:
        """A Unix time as this record writes it."""
        return f"{when - self.start:.3f}"


def free_port(host: str = "127.0.0.1") -> int:
    """A port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def settings(servers: int, agents: int = 1, me: int = 0) -> dict[str, Any]:
    """The settings of a small deployment like bc-race-match, with the names of the wire page."""
    return {
        "services": [
            {
                "name": CLASS,
                "aim-ms": 1500.0,
                "deadline-ms": 9000.0,
                "effect": "pure",
                "gain": 1.0,
                "key-scope": "all",
                "late-worth": 0.1,
                "streamed": True,
                "window-ms": 5000.0,
            }
        ],
        "caps": {
            "connect-timeout-ms": 500.0,
            "keepalive-ms": 600000.0,
            "max-retry-after-ms": 2000.0,
            "may-cancel": True,
            "peers": False,
            "probes": True,
            "retry-after": False,
            "second-copies": False,
            "try-limit": 4,
        },
        "clients": {"marks-retry": True},
        "discovery": "automatic",
        "family": "trunks",
        "family-info": {
            "far-state": "piggyback",
            "gives-wait": False,
            "holding-ms": [9900.0],
            "home-no": -1,
            "pools-by-class": [list(range(servers))],
            "release-guard-ms": 500.0,
            "retransmit-ms": 400.0,
            "topology": "pools",
            "widths": [1],
        },
        "me": me,
        "report": {"columns": ["free", "size", "can_take"], "how": "piggyback"},
        "rules": {
            "answer-slack-ms": 20.0,
            "cold-from": 0.34,
            "cold-ms": 15000.0,
            "drain-grace-ms": 2000.0,
            "fall-ms": 2000.0,
            "fall-multiple": 3.0,
        },
        "siblings": agents,
        "step-ms": 5.0,
        "weights": "silent",
    }


class Agent:
    """One call agent: the command `run` of the deploy file, with what DEPLOY tells it, over its restarts."""

    def __init__(self, record: Record, name: str, folder: pathlib.Path, config: dict[str, Any]) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.config = config
        self.config_path = folder / f"{name}.json"
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.command = str(deploy["run"])
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write_config(self, **changed: Any) -> None:
        """Replaces the configuration in one step."""
        self.config.update(changed)
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.config_path)

    def start(self) -> None:
        """Starts the program; `TMPDIR` is empty at each start."""
        self.write_config()
        self.starts += 1
        temporary = self.folder / f"{self.name}.tmp{self.starts}"
        temporary.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(temporary),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": str(self.config["listen"]),
            "PROXY_CONFIG": str(self.config_path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"agent {self.name}: start {self.starts}, pid {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process that was started last."""
        assert self.process is not None
        self.record.note(f"agent {self.name}: {number.name}")
        self.process.send_signal(number)

    async def wait_end(self, limit_s: float = 12.0) -> None:
        """Waits for the end of the process."""
        end = time.time() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.time() > end:
                raise NotRunError(f"agent {self.name} did not end in {limit_s} s")
            await asyncio.sleep(0.01)
        self.record.note(f"agent {self.name}: ended")

    async def kill(self) -> None:
        """Kills it outright."""
        self.signal(signal.SIGKILL)
        await self.wait_end()

    async def wait_ready(self, limit_s: float = READY_S) -> None:
        """Waits until it passes a test, as the platform's front does."""
        end = time.time() + limit_s
        host, _, port = str(self.config["listen"]).rpartition(":")
        while time.time() < end:
            if self.process is None or self.process.poll() is not None:
                raise NotRunError(f"agent {self.name} ended at its start")
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    try:
                        writer.write(b'{"verb":"ECHO","tag":"%s","opts":{},"rc":0}\n' % (b"e" * 16))
                        if json.loads(await reader.readline()).get("rc") == 1:
                            self.record.note(f"agent {self.name}: passes a test")
                            return
                    finally:
                        writer.close()
            await asyncio.sleep(0.05)
        raise NotRunError(f"agent {self.name} not ready in {limit_s} s")

    def log_text(self) -> str:
        """What the agent has written to standard output and error."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def stop(self) -> None:
        """Ends the process that this script has started, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


Case = Callable[[Record, pathlib.Path, list[Agent]], Awaitable[int]]


def main(folder: pathlib.Path, case: Case, limit_s: float = 110.0) -> None:
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    agents: list[Agent] = []

    async def run() -> int:
        async with asyncio.timeout(limit_s):
            return await case(record, temporary, agents)

    try:
        result = asyncio.run(run())
    except (NotRunError, TimeoutError, OSError) as problem:
        record.note(f"could not run: {type(problem).__name__}: {problem}")
        result = NOT_RUN
    finally:
        for agent in agents:
            agent.stop()
            tail = agent.log_text().splitlines()[-120:]
            record.file.write(f"--- log of {agent.name}, its last lines\n" + "\n".join(tail) + "\n")
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[result]
    record.note(f"result {result}: {verdict}")
    print(verdict)
    sys.exit(result)
