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

Then = Callable[[], object]


class Recorder:
    """Keeps nothing and delays nothing."""

    def takes(self) -> bool:
        """Whether new calls are taken: not while what must be kept can't be."""
        return True

    def look(self) -> None:
        """Before a call is looked up: what another process on the same store knows by now is taken in."""

    def elsewhere(self, call: str) -> bool:
        """Whether another process may have an attempt of this call out."""
        return False

    def defers(self, call: str, server: str, then: Then) -> bool:
        """Before a server's word on a call that is not open here: whether another process has yet to say what
        became of it.

        `then` goes on once it has, or is gone; of several from one server on one call the last."""
        return False

    def barrier(self, then: Then) -> None:
        """Goes on once all that was told before is on record."""
        then()

    # Calls

    def sending(self, attempt: Attempt, then: Then) -> None:
        """An attempt is about to leave."""
        then()

    def guarded(self, request: Request, server: str) -> None:
        """An attempt has ended uncleanly, or was given up: `request.not_before` runs."""

    def stands(self, request: Request, attempt: Attempt, body: Body, then: Then) -> None:
        """A call stands; `then` answers its client."""
        then()

    def answered(self, request: Request, server: str, then: Then) -> None:
        """A call was refused or failed, or its client gave it up (`request.answer`); `then` tells it.

        `server` is where an attempt is still out, "" where none is."""
        then()

    def over(self, request: Request, server: str, outcome: Outcome | None, then: Then) -> None:
        """A call that stood has ended, None: by its client; else the client is owed the end, and `then`
        tells it."""
        then()

    def owed(self, call: str, client: str, outcome: Outcome, then: Then) -> None:
        """A client is owed the end of a call that is not known here."""
        then()

    def settled(self, call: str) -> None:
        """The client has heard it, or nobody will."""

    def release_owed(self, server: str, call: str) -> None:
        """A server that can't be reached is owed a release."""

    def release_paid(self, server: str, call: str) -> None:
        """It was sent, or the server is no more."""

    def forgotten(self, call: str) -> None:
        """The id of a call that is over is no longer known."""

    # All else

    def spent(self, team: str, service: str, tokens: float, at: float) -> None:
        """A team's budget was drawn on."""

    def unspent(self, team: str, service: str) -> None:
        """A team's budget is full again, or no longer under contract."""

    def listed(self, server: api.Server, dial: str, stop_at: float | None) -> None:
        """What the list says of a server, and since when nothing new may go there."""

    def unlisted(self, address: str) -> None:
        """A server is off the list."""

    def bus(self, offset: int, version: int) -> None:
        """The last event taken in."""

    def peer(self, host: str, state_id: int | None, started_ms: float) -> None:
        """A Diameter peer's Origin-State-Id, and since when it counts as started."""
