"""What is kept over a restart, as seen from the core: by default nothing.

The broker, the fronts and the routes tell the recorder of each change before its effect leaves the program;
what
they pass as `then` is that effect. Here it goes on at once. With a store (state/recorder.py) it waits for the
record, in order.
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
    """Keeps nothing and delays nothing."""

    def accepts_calls(self) -> bool:
        """Whether new calls are taken: not while what must be kept can't be."""
        return True

    def refresh(self) -> None:
        """Before a call is looked up: what another process on the same store knows by now is taken in."""

    def pending_elsewhere(self, call: str) -> bool:
        """Whether another process may have an attempt of this call out."""
        return False

    def defers(self, call: str, server: str, then: Continuation) -> bool:
        """Before a server's word on a call that is not open here: whether another process has yet to say what
        became of it.

        `then` goes on once it has, or is gone; of several from one server on one call the last."""
        return False

    def barrier(self, then: Continuation) -> None:
        """Goes on once all that was told before is on record."""
        then()

    # Calls

    def record_attempt(self, attempt: Attempt, then: Continuation) -> None:
        """An attempt is about to leave."""
        then()

    def record_release_guard(self, request: Request, server: str) -> None:
        """An attempt has ended uncleanly, or was given up: `request.not_before` runs."""

    def record_established(self, request: Request, attempt: Attempt, body: Body, then: Continuation) -> None:
        """A call stands; `then` answers its client."""
        then()

    def record_answered(self, request: Request, server: str, then: Continuation) -> None:
        """A call was refused or failed, or its client gave it up (`request.answer`); `then` tells it.

        `server` is where an attempt is still out, "" where none is."""
        then()

    def record_end(self, request: Request, server: str, outcome: Outcome | None, then: Continuation) -> None:
        """A call that stood has ended, None: by its client; else the client is owed the end, and `then`
        tells it."""
        then()

    def record_owed_end(self, call: str, client: str, outcome: Outcome, then: Continuation) -> None:
        """A client is owed the end of a call that is not known here."""
        then()

    def clear_owed_end(self, call: str) -> None:
        """The client has heard it, or nobody will."""

    def record_owed_release(self, server: str, call: str) -> None:
        """A server that can't be reached is owed a release."""

    def clear_owed_release(self, server: str, call: str) -> None:
        """It was sent, or the server is no more."""

    def forget_call(self, call: str) -> None:
        """The id of a call that is over is no longer known."""

    # All else

    def record_budget(self, team: str, service: str, tokens: float, at: float) -> None:
        """A team's budget was drawn on."""

    def clear_budget(self, team: str, service: str) -> None:
        """A team's budget is full again, or no longer under contract."""

    def record_server(self, server: api.Server, dial: str, stop_at: float | None) -> None:
        """What the list says of a server, and since when nothing new may go there."""

    def forget_server(self, address: str) -> None:
        """A server is off the list."""

    def record_bus_position(self, offset: int, version: int) -> None:
        """The last event taken in."""

    def record_peer(self, host: str, state_id: int | None, started_ms: float) -> None:
        """A Diameter peer's Origin-State-Id, and since when it counts as started."""
