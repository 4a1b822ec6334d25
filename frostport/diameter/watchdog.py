"""The transport watchdog of RFC 3539, section 3.4.1, without any I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines

JITTER_MS = 2000.0  # the timer is the interval (Tw) plus or minus up to this, as RFC 3539 asks
REOPEN_ANSWER_COUNT = 3  # watchdog answers until a peer that came back is OKAY


class WatchdogState(Enum):
    """The states of a peer, as RFC 3539 names them."""

    INITIAL = "INITIAL"  # no connection so far
    OKAY = "OKAY"  # set-ups may be sent
    SUSPECT = "SUSPECT"  # a watchdog request was not answered in time
    DOWN = "DOWN"  # not connected
    REOPEN = "REOPEN"  # connected again, not OKAY until it has answered REOPEN_ANSWER_COUNT requests


class Watchdog:
    """The watchdog of one peer, over all its connections."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        interval_ms: float,
        rng: random.Random,
        send_request: Callable[[], None],
        close_connection: Callable[[], None],
        on_change: Callable[[WatchdogState, WatchdogState], None],
    ) -> None:
        """`interval_ms` is Tw. `send_request` sends a Device-Watchdog-Request, `close_connection` closes the
        connection of the peer, `on_change` gets the state before and after."""
        self.clock = clock
        self.deadlines = deadlines
        self.interval_ms = interval_ms
        self.rng = rng
        self.send_request = send_request
        self.close_connection = close_connection
        self.on_change = on_change
        self.state = WatchdogState.INITIAL
        self.pending = False  # a watchdog request is unanswered
        self.answer_count = 0  # NumDWA: answers in REOPEN, or -1 after one was missed
        self._timer: Deadline | None = None

    def _enter(self, state: WatchdogState) -> None:
        before = self.state
        self.state = state
        if before is not state:
            self.on_change(before, state)

    def _set_timer(self) -> None:
        self.stop()
        jitter = self.rng.uniform(-JITTER_MS, JITTER_MS)
        self._timer = self.deadlines.set(self.clock.now() + self.interval_ms + jitter, self._on_timer)

    def stop(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_request(self) -> None:
        self.pending = True
        self.send_request()

    def connection_up(self) -> None:
        """Called when capabilities are exchanged; only the first connection is OKAY at once."""
        self.pending = False
        self._set_timer()
        if self.state is WatchdogState.INITIAL:
            self._enter(WatchdogState.OKAY)
        elif self.state is WatchdogState.DOWN:
            self.answer_count = 0
            self._enter(WatchdogState.REOPEN)
            self._send_request()

    def connection_down(self) -> None:
        """Called when the connection is closed."""
        self.stop()
        self.pending = False
        if self.state is not WatchdogState.INITIAL:
            self._enter(WatchdogState.DOWN)

    def on_message(self, is_answer: bool) -> None:
        """Called for each message; `is_answer` if it is a Device-Watchdog-Answer."""
        if self.state is WatchdogState.REOPEN:
            if is_answer:
                self.pending = False
                self.answer_count += 1
                if self.answer_count >= REOPEN_ANSWER_COUNT:
                    self._set_timer()
                    self._enter(WatchdogState.OKAY)
            return
        if is_answer:
            self.pending = False
        if self.state in (WatchdogState.OKAY, WatchdogState.SUSPECT):
            self._set_timer()
            self._enter(WatchdogState.OKAY)

    def _on_timer(self) -> None:
        match self.state:
            case WatchdogState.OKAY if not self.pending:
                self._send_request()
                self._set_timer()
            case WatchdogState.OKAY:
                self._enter(WatchdogState.SUSPECT)
                self._set_timer()
            case WatchdogState.SUSPECT:
                self.close_connection()
                self.connection_down()
            case WatchdogState.REOPEN if not self.pending:
                self._send_request()
                self._set_timer()
            case WatchdogState.REOPEN if self.answer_count >= 0:
                self.answer_count = -1  # one request may go unanswered, not two
                self._set_timer()
            case WatchdogState.REOPEN:
                self.close_connection()
                self.connection_down()
            case _:
                pass
