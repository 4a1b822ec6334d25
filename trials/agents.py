"""The agents of a trial: real processes of frostport, started, signalled and watched."""

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

READY_POLL_S = 0.05  # between two checks of whether an agent serves


class AgentProcess:
    """One agent, over the restarts of its process."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        configuration: dict[str, Any],
        history: History,
        defect: str = "",
    ) -> None:
        """`defect` names a function of `trials.planted` that each process is started with, empty for none."""
        self.module_arguments = ["trials.planted", defect] if defect else ["frostport"]
        self.name = name
        self.folder = folder
        self.configuration = configuration
        self.history = history
        self.configuration_path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.exit_expected = False  # SIGTERM or SIGKILL was sent to the current process
        self.watch_tasks: list[asyncio.Task[None]] = []
        self.log = (folder / f"{name}.log").open("ab")

    def write_configuration(self, **changed: Any) -> None:
        """Replaces the configuration file, which the agent reads at its start and on SIGHUP."""
        self.configuration = {**self.configuration, **changed}
        new_file = self.configuration_path.with_suffix(".new")
        new_file.write_text(json.dumps(self.configuration), encoding="utf-8")
        new_file.replace(self.configuration_path)

    async def start(self) -> None:
        """Starts a process; `READY` is recorded once it serves."""
        self.write_configuration()
        self.exit_expected = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.module_arguments,
            "serve",
            "--config",
            str(self.configuration_path),
            stdout=self.log,
            stderr=self.log,
        )
        self.history.add(Kind.STARTED, self.name, number=self.process.pid)
        self.watch_tasks.append(asyncio.ensure_future(self._watch_exit(self.process)))
        self.watch_tasks.append(asyncio.ensure_future(self._watch_ready(self.process)))

    async def _watch_exit(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self.history.add(
            Kind.EXITED, self.name, number=status, text="" if self.exit_expected else "unexpected"
        )

    async def _watch_ready(self, process: asyncio.subprocess.Process) -> None:
        host, _, port = str(self.configuration["listen"]).rpartition(":")
        while process.returncode is None:
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(1.0):
                    if await self._is_serving(host, int(port)):
                        self.history.add(Kind.READY, self.name)
                        return
            await asyncio.sleep(READY_POLL_S)

    async def _is_serving(self, host: str, port: int) -> bool:
        """Whether it serves: by an echo test of its front, or over Diameter by the operators' `ready`."""
        if "diameter" in self.configuration:
            return (await self.command("ready")).startswith("OK yes")
        return await passes_echo_test(host, port)

    async def wait_until_ready(self) -> None:
        """Waits until the process that was started last is ready or has exited."""
        if self.watch_tasks:
            await self.watch_tasks[-1]

    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to a running process, and records it for the rules."""
        if self.process is None or self.process.returncode is not None:
            return
        kinds = {
            signal.SIGTERM: Kind.TERMINATED,
            signal.SIGKILL: Kind.KILLED,
            signal.SIGSTOP: Kind.PAUSED,
            signal.SIGCONT: Kind.RESUMED,
        }
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            self.exit_expected = True
        if signal_number in kinds:
            self.history.add(kinds[signal_number], self.name)
        self.process.send_signal(signal_number)

    async def command(self, command: str) -> str:
        """Sends a command to the operators' port; returns the answer, empty if there is none within 1 s."""
        host, _, port = str(self.configuration["operator"]).rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(command.encode() + b"\n")
                answer = await reader.read()
                writer.close()
                return answer.decode()
        return ""

    async def stop(self) -> None:
        """Kills the process if it runs, and closes the log."""
        for task in self.watch_tasks:
            task.cancel()
        await asyncio.gather(*self.watch_tasks, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self.log.close()

    def memory_bytes(self) -> int:
        """Resident memory of the process; 0 if it does not run."""
        if not self.is_running() or self.process is None:
            return 0
        with contextlib.suppress(OSError):
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * resource.getpagesize()
        return 0

    def descriptors(self) -> int:
        """Number of open file descriptors of the process; 0 if it does not run."""
        if not self.is_running() or self.process is None:
            return 0
        with contextlib.suppress(OSError):
            return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))
        return 0


async def passes_echo_test(host: str, port: int) -> bool:
    """Whether an agent's front answers an echo test with success.

    Raises OSError if it refuses the connection, ValueError if the answer is no JSON.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b'{"verb":"ECHO","tag":"0000000000000000","opts":{},"rc":0}\n')
        line = await reader.readline()
        return bool(line) and json.loads(line).get("rc") == 1
    finally:
        writer.close()
