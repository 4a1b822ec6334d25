"""The agents of a trial: real processes of the program, started, signalled and watched."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import resource
import signal
import sys
from typing import Any

from trials.history import History, Kind

LOOK_S = 0.05  # how often it is looked whether an agent serves


class AgentProcess:
    """One agent, over its restarts."""

    def __init__(
        self, name: str, folder: pathlib.Path, record: dict[str, Any], history: History, defect: str = ""
    ) -> None:
        """`record`: its configuration; `defect`: one of `trials.planted`, put in at each start."""
        self.program_arguments = ["trials.planted", defect] if defect else ["frostport"]
        self.name, self.folder, self.record, self.history = name, folder, record, history
        self.path = folder / f"{name}.json"
        self.program: asyncio.subprocess.Process | None = None
        self.expected = False  # its end is asked for
        self.watching: list[asyncio.Task[None]] = []
        self.log = (folder / f"{name}.log").open("ab")

    def write_configuration(self, **changed: Any) -> None:
        """Replaces the file that the agent reads at its start and on SIGHUP."""
        self.record = {**self.record, **changed}
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.record), encoding="utf-8")
        fresh.replace(self.path)

    async def start(self) -> None:
        """Starts a process; `READY` is recorded once it passes a test of its front."""
        self.write_configuration()
        self.expected = False
        self.program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.program_arguments,
            "serve",
            "--config",
            str(self.path),
            stdout=self.log,
            stderr=self.log,
        )
        self.history.add(Kind.STARTED, self.name, number=self.program.pid)
        self.watching.append(asyncio.ensure_future(self._watch_end(self.program)))
        self.watching.append(asyncio.ensure_future(self._watch_ready(self.program)))

    async def _watch_end(self, program: asyncio.subprocess.Process) -> None:
        status = await program.wait()
        self.history.add(Kind.EXITED, self.name, number=status, text="" if self.expected else "unexpected")

    async def _watch_ready(self, program: asyncio.subprocess.Process) -> None:
        host, _, port = str(self.record["listen"]).rpartition(":")
        while program.returncode is None:
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(1.0):
                    if await self._serves(host, int(port)):
                        self.history.add(Kind.READY, self.name)
                        return
            await asyncio.sleep(LOOK_S)

    async def _serves(self, host: str, port: int) -> bool:
        """Whether it says that it serves: by a test of its front, or where that is Diameter's by its call."""
        if "diameter" in self.record:
            return (await self.ask("ready")).startswith("OK yes")
        return await passes_test(host, port)

    async def ready(self) -> None:
        """Waits until the process that was started last is ready, or has ended."""
        if self.watching:
            await self.watching[-1]

    def running(self) -> bool:
        """Whether its process is there."""
        return self.program is not None and self.program.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, and records what it means for the rules."""
        if self.program is None or self.program.returncode is not None:
            return
        kinds = {
            signal.SIGTERM: Kind.TERMINATED,
            signal.SIGKILL: Kind.KILLED,
            signal.SIGSTOP: Kind.PAUSED,
            signal.SIGCONT: Kind.RESUMED,
        }
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected = True
        if number in kinds:
            self.history.add(kinds[number], self.name)
        self.program.send_signal(number)

    async def ask(self, call: str) -> str:
        """One call at its admin endpoint; what it answers, empty if it is not there."""
        host, _, port = str(self.record["operator"]).rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(call.encode() + b"\n")
                answer = await reader.read()
                writer.close()
                return answer.decode()
        return ""

    async def stop(self) -> None:
        """Ends its process, whatever state it is in."""
        for task in self.watching:
            task.cancel()
        await asyncio.gather(*self.watching, return_exceptions=True)
        if self.program is not None and self.program.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.program.kill()
            await self.program.wait()
        self.log.close()

    def memory_bytes(self) -> int:
        """Its resident memory now; 0 if it does not run."""
        if not self.running() or self.program is None:
            return 0
        with contextlib.suppress(OSError):
            pages = int(pathlib.Path(f"/proc/{self.program.pid}/statm").read_text().split()[1])
            return pages * resource.getpagesize()
        return 0

    def descriptors(self) -> int:
        """How many descriptors it has open; 0 if it does not run."""
        if not self.running() or self.program is None:
            return 0
        with contextlib.suppress(OSError):
            return len(list(pathlib.Path(f"/proc/{self.program.pid}/fd").iterdir()))
        return 0


async def passes_test(host: str, port: int) -> bool:
    """Whether an agent's front answers a test as passed."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b'{"verb":"ECHO","tag":"0000000000000000","opts":{},"rc":0}\n')
        line = await reader.readline()
        return bool(line) and json.loads(line).get("rc") == 1
    finally:
        writer.close()
