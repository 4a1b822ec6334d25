"""Translates the scripted parties' messages to Diameter and back, so that both fronts meet the same trials.

The parties speak the platform's verbs. A set-up is a CCR-Initial, its answer or refusal a CCA, a give-up or a
release by the caller a CCR-Termination, an end told by the server an ASR, its confirmation an ASA (RFC 8506,
RFC 6733). What the platform's wire has beyond that (state reports, tests) is left out.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from frostport.diameter import avp
from frostport.diameter.avp import Avp, Message, MessageSplitter, make

REALM = "here"
BUSY_CAUSE, REFUSED_CAUSE, FAILED_CAUSE, NORMAL_CAUSE = 34, 42, 41, 16
OTHER_ERROR = 5012  # DIAMETER_UNABLE_TO_COMPLY


@dataclass(frozen=True)
class Heard:
    """What came in: messages for the party, and bytes that go back at once."""

    messages: list[dict[str, Any]]
    replies: bytes
    opened: bool  # the capabilities are exchanged by now


class Codec:
    """One connection of a peer. Until the capabilities are exchanged, what it is to say waits."""

    def __init__(self, host: str, calls: bool, state_id: int = 1) -> None:
        """`calls`: whether this peer opened the connection, and so asks for the capabilities."""
        self._host, self._calls, self._state_id = host, calls, state_id
        self._frames = MessageSplitter()
        self._next_id = 0
        self._asked: dict[tuple[int, str], Message] = {}  # requests that wait for this peer's answer
        self._sent: dict[int, int] = {}  # the kind of each CCR that this peer sent, by hop-by-hop id
        self.open = False
        self._waiting: list[bytes] = []

    def begin(self) -> bytes:
        """What is said first on a new connection."""
        return self._capabilities(None) if self._calls else b""

    def encode(self, lines: bytes) -> bytes:
        """The Diameter form of the platform's lines; empty while it has to wait, or where there is none."""
        data = b"".join(self._message(json.loads(line)) for line in lines.splitlines())
        if self.open:
            return data
        self._waiting.append(data)
        return b""

    def feed(self, data: bytes) -> Heard:
        """Reads what came."""
        messages: list[dict[str, Any]] = []
        replies: list[bytes] = []
        for frame in self._frames.feed(data):
            message = avp.read_header(frame)
            message.avps = avp.read_avps(frame[avp.HEADER_BYTES :])
            replies.append(self._base(message))
            heard = self._application(message)
            if heard is not None:
                messages.append(heard)
        if self.open and self._waiting:
            replies += self._waiting
            self._waiting.clear()
        return Heard(messages, b"".join(replies), self.open)

    # The base protocol

    def _identity(self) -> list[Avp]:
        return [make(avp.ORIGIN_HOST, self._host), make(avp.ORIGIN_REALM, REALM)]

    def _capabilities(self, request: Message | None) -> bytes:
        avps = [
            *self._identity(),
            make(avp.HOST_IP_ADDRESS, b"\0\1\x7f\0\0\1"),
            make(avp.VENDOR_ID, 0),
            make(avp.PRODUCT_NAME, "trial"),
            make(avp.ORIGIN_STATE_ID, self._state_id),
            make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
        ]
        if request is None:
            return self._request(avp.CE, avp.BASE, avps)
        return request.answer(avp.SUCCESS, avps).encode()

    def _base(self, message: Message) -> bytes:
        """The reply that the base protocol wants at once, if any."""
        if message.command == avp.CE:
            self.open = True
            return self._capabilities(message) if message.is_request else b""
        if message.is_request and message.command in (avp.DW, avp.DP):
            state = make(avp.ORIGIN_STATE_ID, self._state_id)
            return message.answer(avp.SUCCESS, [*self._identity(), state]).encode()
        return b""

    def _request(self, command: int, application: int, avps: list[Avp]) -> bytes:
        self._next_id += 1
        flags = avp.REQUEST | (avp.PROXIABLE if application else 0)
        return Message(command, application, self._next_id, self._next_id, flags, avps).encode()

    # Credit control, heard

    def _application(self, message: Message) -> dict[str, Any] | None:
        call = str(message.get(avp.SESSION_ID) or "")
        if message.command == avp.AS:
            if not message.is_request:
                return {"verb": "FINISHED", "tag": call}
            self._asked[avp.AS, call] = message
            normal = message.get(avp.TERMINATION_CAUSE) in (None, avp.LOGOUT)
            return {"verb": "FINISH", "tag": call, "rc": NORMAL_CAUSE if normal else FAILED_CAUSE}
        if message.command != avp.CC:
            return None
        if message.is_request:
            kind = message.get(avp.CC_REQUEST_TYPE)
            self._asked[kind, call] = message
            verb = "START" if kind == avp.INITIAL else "FINISH"
            return {"verb": verb, "tag": call, "rc": NORMAL_CAUSE}
        if self._sent.pop(message.hop_by_hop, None) == avp.TERMINATION:
            return {"verb": "FINISHED", "tag": call}
        result = message.get(avp.RESULT_CODE)
        if result == avp.SUCCESS:
            return {"verb": "STARTED", "tag": call, "blob": str(message.get(avp.CALLED_STATION_ID))}
        cause = REFUSED_CAUSE if result == avp.TOO_BUSY else FAILED_CAUSE
        return {"verb": "FINISH", "tag": call, "rc": cause}

    # Credit control, said

    def _message(self, line: dict[str, Any]) -> bytes:
        call, verb = str(line["tag"]), line["verb"]
        if verb == "START":
            return self._credit_control(call, avp.INITIAL, line["opts"])
        if verb == "STARTED":
            return self._answer(call, avp.SUCCESS, [make(avp.CALLED_STATION_ID, line["blob"])])
        if verb == "FINISHED":
            return self._confirm(call)
        if verb != "FINISH":
            return b""
        if self._calls:
            return self._credit_control(call, avp.TERMINATION, {})
        if (avp.INITIAL, call) in self._asked:
            return self._answer(call, avp.TOO_BUSY if line["rc"] == BUSY_CAUSE else OTHER_ERROR, [])
        head = [make(avp.SESSION_ID, call), *self._identity(), make(avp.DESTINATION_REALM, REALM)]
        head += [make(avp.DESTINATION_HOST, "agent"), make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL)]
        return self._request(avp.AS, avp.CREDIT_CONTROL, [*head, make(avp.TERMINATION_CAUSE, avp.LOGOUT)])

    def _credit_control(self, call: str, kind: int, options: dict[str, Any]) -> bytes:
        avps = [
            make(avp.SESSION_ID, call),
            *self._identity(),
            make(avp.DESTINATION_REALM, REALM),
            make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
            make(avp.CC_REQUEST_TYPE, kind),
            make(avp.CC_REQUEST_NUMBER, 0 if kind == avp.INITIAL else 1),
            make(avp.SERVICE_CONTEXT_ID, f"{options.get('class', 'race')}@{REALM}"),
        ]
        if "left" in options:
            avps.append(make(avp.MAXIMUM_WAIT_TIME, int(options["left"])))
        self._sent[self._next_id + 1] = kind
        return self._request(avp.CC, avp.CREDIT_CONTROL, avps)

    def _answer(self, call: str, result: int, avps: list[Avp]) -> bytes:
        asked = self._asked.pop((avp.INITIAL, call), None)
        if asked is None:
            return b""  # its connection has gone: Diameter has no answer without the request
        return self._reply(asked, result, avps)

    def _confirm(self, call: str) -> bytes:
        asked = self._asked.pop((avp.AS, call), None) or self._asked.pop((avp.TERMINATION, call), None)
        return b"" if asked is None else self._reply(asked, avp.SUCCESS, [])

    def _reply(self, asked: Message, result: int, avps: list[Avp]) -> bytes:
        return asked.answer(result, [*self._identity(), *avps]).encode()
