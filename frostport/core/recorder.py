"""The interface through which the core records what must survive a restart; records nothing by default.

The broker, the fronts and the routes report each change before its effect leaves the process, and pass that
effect as `then`. Without a store it runs at once. With a store (state/recorder.py) it runs once the change
is recorded, in the order of the calls.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from frostport import interface as api
from frostport.interface import Outcome

if TYPE_CHECKING:
    from frostport.core.calls import Attempt, Body, Request

Continuation = Callable[[], object]


class Recorder:
    """Records nothing and delays nothing."""

    def accepts_calls(self) -> bool:
        """Whether new calls may be taken: not while the store can't record them."""
        return True

    def refresh(self) -> None:
        """Reads what another process has written to the same store; called before a call is looked up."""

    def pending_elsewhere(self, call: str) -> bool:
        """Whether another process may have a pending attempt of this call."""
        return False

    def defers(self, call: str, server: str, then: Continuation) -> bool:
        """Whether a server's message on a call that is not open here waits for another process.

        If so, `then` runs once that process has recorded the call's outcome, or has ended. Of several
        messages of one server on one call only the last is kept."""
        return False

    def barrier(self, then: Continuation) -> None:
        """Runs `then` once all earlier changes are recorded."""
        then()

    # Calls

    def record_attempt(self, attempt: Attempt, then: Continuation) -> None:
        """An attempt is about to be sent; `then` sends it."""
        then()

    def record_release_guard(self, request: Request, server: str) -> None:
        """An attempt has ended uncleanly or was given up, which starts the guard in `request.not_before`."""

    def record_established(self, request: Request, attempt: Attempt, body: Body, then: Continuation) -> None:
        """A call is established; `then` answers its client."""
        then()

    def record_answered(self, request: Request, server: str, then: Continuation) -> None:
        """A call was refused, has failed or was given up (see `request.answer`); `then` answers its client.

        `server` is the server of the attempt that is still pending, "" if there is none."""
        then()

    def record_end(self, request: Request, server: str, outcome: Outcome | None, then: Continuation) -> None:
        """An established call has ended.

        With `outcome` None its client has ended it, and `then` releases it at the server. Otherwise the
        client has to be notified, which `then` does."""
        then()

    def record_pending_end(self, call: str, client: str, outcome: Outcome, then: Continuation) -> None:
        """A client has to be notified of the end of a call that is not known here; `then` does it."""
        then()

    def clear_pending_end(self, call: str) -> None:
        """The client has confirmed the end of the call, or can no longer be notified."""

    def record_pending_release(self, server: str, call: str) -> None:
        """A release is due to a server that can't be reached."""

    def clear_pending_release(self, server: str, call: str) -> None:
        """The release was sent, or the server no longer exists."""

    def forget_call(self, call: str) -> None:
        """The id of an ended call is no longer kept."""

    # Budgets, servers and peers

    def record_budget(self, team: str, service: str, tokens: float, at: float) -> None:
        """A team has spent from its budget: its tokens at the time `at`, ms."""

    def clear_budget(self, team: str, service: str) -> None:
        """A team's budget is full again, or its service has no contract any more."""

    def record_server(self, server: api.Server, dial: str, stop_at: float | None) -> None:
        """A server as listed, its dial address, and since when it takes no new calls (ms, None: it does)."""

    def forget_server(self, address: str) -> None:
        """A server has left the list."""

    def record_peer(self, host: str, state_id: int | None, started_ms: float) -> None:
        """A Diameter peer's Origin-State-Id, and the time from which it counts as started."""
