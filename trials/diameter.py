"""Translates the scripted parties' messages to Diameter and back, so that both fronts are tested alike.

The parties use the platform's verbs. A set-up is a CCR-Initial, its answer or refusal a CCA, a give-up or a
release by the caller a CCR-Termination, a release by the server an ASR, its confirmation an ASA (RFC 8506,
RFC 6733). The platform's other messages (load reports, echo tests) have no counterpart.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from frostport.diameter import avp
from frostport.diameter.avp import Avp, Message, MessageSplitter, make

REALM = "here"
# Causes of a FINISH.
FULL_CAUSE = 34
REFUSED_CAUSE = 42
FAILED_CAUSE = 41
NORMAL_CAUSE = 16
OTHER_ERROR = 5012  # DIAMETER_UNABLE_TO_COMPLY


@dataclass(frozen=True)
class Received:
    """Received data, decoded: messages for the party, and bytes to send back at once."""

    messages: list[dict[str, Any]]
    replies: bytes
    opened: bool  # whether the capabilities have been exchanged


class Codec:
    """Encodes and decodes one connection of a peer.

    Messages are queued until the capabilities have been exchanged.
    """

    def __init__(self, host: str, is_initiator: bool, state_id: int = 1) -> None:
        """`is_initiator`: whether this peer opened the connection, and so sends the CER."""
        self._host = host
        self._is_initiator = is_initiator
        self._state_id = state_id
        self._frames = MessageSplitter()
        self._next_id = 0
        self._requests: dict[tuple[int, str], Message] = {}  # unanswered requests by type (or AS) and session
        self._sent_types: dict[int, int] = {}  # CC-Request-Type of sent CCRs by hop-by-hop id
        self.open = False
        self._queued: list[bytes] = []

    def opening_message(self) -> bytes:
        """The bytes to send first on a new connection."""
        return self._capabilities(None) if self._is_initiator else b""

    def encode(self, lines: bytes) -> bytes:
        """The Diameter form of the platform's lines; empty while queued, or if there is no counterpart."""
        data = b"".join(self._encode_message(json.loads(line)) for line in lines.splitlines())
        if self.open:
            return data
        self._queued.append(data)
        return b""

    def feed(self, data: bytes) -> Received:
        """Decodes received data."""
        messages: list[dict[str, Any]] = []
        replies: list[bytes] = []
        for frame in self._frames.feed(data):
            message = avp.read_header(frame)
            message.avps = avp.read_avps(frame[avp.HEADER_BYTES :])
            replies.append(self._base_reply(message))
            received = self._read_application(message)
            if received is not None:
                messages.append(received)
        if self.open and self._queued:
            replies += self._queued
            self._queued.clear()
        return Received(messages, b"".join(replies), self.open)

    # Base protocol

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

    def _base_reply(self, message: Message) -> bytes:
        """The immediate reply that the base protocol requires, if any."""
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

    # Credit control, received

    def _read_application(self, message: Message) -> dict[str, Any] | None:
        call = str(message.get(avp.SESSION_ID) or "")
        if message.command == avp.AS:
            if not message.is_request:
                return {"verb": "FINISHED", "tag": call}
            self._requests[avp.AS, call] = message
            normal = message.get(avp.TERMINATION_CAUSE) in (None, avp.LOGOUT)
            return {"verb": "FINISH", "tag": call, "rc": NORMAL_CAUSE if normal else FAILED_CAUSE}
        if message.command != avp.CC:
            return None
        if message.is_request:
            request_type = message.get(avp.CC_REQUEST_TYPE)
            self._requests[request_type, call] = message
            verb = "START" if request_type == avp.INITIAL else "FINISH"
            return {"verb": verb, "tag": call, "rc": NORMAL_CAUSE}
        if self._sent_types.pop(message.hop_by_hop, None) == avp.TERMINATION:
            return {"verb": "FINISHED", "tag": call}
        result = message.get(avp.RESULT_CODE)
        if result == avp.SUCCESS:
            return {"verb": "STARTED", "tag": call, "blob": str(message.get(avp.CALLED_STATION_ID))}
        cause = REFUSED_CAUSE if result == avp.TOO_BUSY else FAILED_CAUSE
        return {"verb": "FINISH", "tag": call, "rc": cause}

    # Credit control, sent

    def _encode_message(self, line: dict[str, Any]) -> bytes:
        call = str(line["tag"])
        verb = line["verb"]
        if verb == "START":
            return self._credit_control(call, avp.INITIAL, line["opts"])
        if verb == "STARTED":
            return self._answer(call, avp.SUCCESS, [make(avp.CALLED_STATION_ID, line["blob"])])
        if verb == "FINISHED":
            return self._answer_end(call)
        if verb != "FINISH":
            return b""
        if self._is_initiator:
            return self._credit_control(call, avp.TERMINATION, {})
        if (avp.INITIAL, call) in self._requests:
            return self._answer(call, avp.TOO_BUSY if line["rc"] == FULL_CAUSE else OTHER_ERROR, [])
        head = [make(avp.SESSION_ID, call), *self._identity(), make(avp.DESTINATION_REALM, REALM)]
        head += [make(avp.DESTINATION_HOST, "agent"), make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL)]
        return self._request(avp.AS, avp.CREDIT_CONTROL, [*head, make(avp.TERMINATION_CAUSE, avp.LOGOUT)])

    def _credit_control(self, call: str, request_type: int, options: dict[str, Any]) -> bytes:
        avps = [
            make(avp.SESSION_ID, call),
            *self._identity(),
            make(avp.DESTINATION_REALM, REALM),
            make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
            make(avp.CC_REQUEST_TYPE, request_type),
            make(avp.CC_REQUEST_NUMBER, 0 if request_type == avp.INITIAL else 1),
            make(avp.SERVICE_CONTEXT_ID, f"{options.get('class', 'race')}@{REALM}"),
        ]
        if "left" in options:
            avps.append(make(avp.MAXIMUM_WAIT_TIME, int(options["left"])))
        self._sent_types[self._next_id + 1] = request_type
        return self._request(avp.CC, avp.CREDIT_CONTROL, avps)

    def _answer(self, call: str, result: int, avps: list[Avp]) -> bytes:
        request = self._requests.pop((avp.INITIAL, call), None)
        if request is None:
            return b""  # the request came on an earlier connection: Diameter cannot answer it on this one
        return self._reply(request, result, avps)

    def _answer_end(self, call: str) -> bytes:
        request = self._requests.pop((avp.AS, call), None) or self._requests.pop(
            (avp.TERMINATION, call), None
        )
        return b"" if request is None else self._reply(request, avp.SUCCESS, [])

    def _reply(self, request: Message, result: int, avps: list[Avp]) -> bytes:
        return request.answer(result, [*self._identity(), *avps]).encode()
