"""Scripted parties that speak Diameter, for the scenario language, and an audit of their messages.

Messages are written as NAME SESSION field=value: CCR-I, CCR-T, CCA (with `result`), ASR, ASA, CER, DWR, DPR.
A party exchanges capabilities and answers watchdogs by itself. After `mute` it ignores watchdogs, after
`unmute` it answers them again; `bare` leaves the capabilities to the script, and `state=N` sets its
Origin-State-Id.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from frostport.diameter import avp
from frostport.diameter.avp import Avp, Message, MessageSplitter, make
from tests.scenario import SETTINGS, Actor, MessageFields, Wire, World

COMMAND_NAMES = {avp.CE: "CE", avp.CC: "CC", avp.AS: "AS", avp.DW: "DW", avp.DP: "DP"}
SUFFIX_BY_REQUEST_TYPE = {avp.INITIAL: "-I", avp.UPDATE: "-U", avp.TERMINATION: "-T", avp.EVENT: "-E"}
# The fields of messages in scripts
SHOWN_AVPS = {
    "result": avp.RESULT_CODE,
    "wait": avp.MAXIMUM_WAIT_TIME,
    "key": avp.CALLED_STATION_ID,
    "cause": avp.TERMINATION_CAUSE,
    "why": avp.DISCONNECT_CAUSE,
    "svc": avp.SERVICE_CONTEXT_ID,
}


def config(**caps: Any) -> dict[str, Any]:
    """The configuration of an agent with two client and two server peers; `caps` override its settings'."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "0a",
        "settings": {**SETTINGS, "caps": {**SETTINGS["caps"], **caps}},
        "diameter": {
            "host": "n0",
            "realm": "here",
            "clients": ["c1", "c2"],
            "watchdog_ms": 6000,
            "servers": [{"host": f"s{n}", "dial": f"10.0.0.{n + 1}:1", "number": n} for n in (0, 1)],
        },
    }


def extra_avps(fields: MessageFields) -> list[Avp]:
    """The AVPs that `with=CODE:FLAGS:DATA`, one, and `many=N`, empty ones, add."""
    if "many" in fields:
        return [Avp(70000 + number, b"") for number in range(int(fields["many"]))]
    if "with" not in fields:
        return []
    code, flags, data = fields["with"].split(":")
    return [Avp(int(code), bytes.fromhex(data), 0, int(flags, 16))]


class DiameterActor(Actor):
    """A client peer or a lobby server."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.splitter = MessageSplitter()
        self.last_id = 0
        self.requests: dict[tuple[str, str], Message] = {}
        self.bare = False
        self.state_id = 1

    def connect(self, wire: Wire) -> None:
        self.wires = [wire]
        self.splitter = MessageSplitter()
        if self.name.startswith("c") and not self.bare:
            self.send("CER")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for frame in self.splitter.feed(data):
            message = avp.read_header(frame)
            message.avps = avp.read_avps(frame[avp.HEADER_BYTES :])
            received = self.describe(message)
            record_event(self, "received", received)
            if message.is_request:
                self.requests[received[""], received["tag"]] = message
            if received[""] == "CER" and not self.bare:
                self.send("CEA result=2001")
            elif received[""] == "DWR":
                if self.state != "mute":
                    self.send("DWA result=2001")
            elif received[""] == "DPR":
                self.send("DPA result=2001")
            elif received[""] not in ("DWA", "CCA-T") and (received[""] != "CEA" or self.bare):
                self.inbox.append(received)

    def describe(self, message: Message) -> MessageFields:
        """Returns a message as its name (under ""), its session (under "tag") and its fields."""
        suffix = (
            SUFFIX_BY_REQUEST_TYPE.get(message.get(avp.CC_REQUEST_TYPE), "")
            if message.command == avp.CC
            else ""
        )
        letter = "R" if message.is_request else "A"
        received = {
            "": f"{COMMAND_NAMES.get(message.command, message.command)}{letter}{suffix}",
            "tag": message.get(avp.SESSION_ID) or "",
        }
        for name, definition in SHOWN_AVPS.items():
            value = message.get(definition)
            received.update({} if value is None else {name: str(value)})
        received["error"] = str(int(bool(message.flags & avp.ERROR)))
        failed = message.get(avp.FAILED_AVP)
        report = message.get(avp.OC_OLR)
        if failed:
            length = int.from_bytes(failed[5:8], "big")
            received["failed"] = f"{int.from_bytes(failed[:4], 'big')}:{failed[8:length].hex()}"
        if report:
            received["back"] = str(avp.find_value(report, avp.OC_VALIDITY_DURATION))
        return received

    def encode(self, text: str) -> bytes:
        """Encodes a message as scripts write it, `raw HEX` being bytes, and adds the AVPs that it requires.

        Besides the fields of SHOWN_AVPS: `host`, `dest`, `app`, `oc`, `T` (retransmitted), `id` (End-to-End),
        `to` (Application-ID), `command`, `with=CODE:FLAGS:DATA` and `without=CODE` of AVPs."""
        if text.startswith("raw "):
            return bytes.fromhex(text[4:])
        name, *rest = text.split()
        session = rest.pop(0) if rest and "=" not in rest[0] else ""
        fields = dict(pair.split("=", 1) for pair in rest)
        record_event(self, "sent", {"": name, "tag": session, **fields})
        avps = [make(avp.ORIGIN_HOST, fields.get("host", self.name)), make(avp.ORIGIN_REALM, "there")]
        if session:
            avps.insert(0, make(avp.SESSION_ID, session))
        if name[:2] == "CE":
            application = int(fields.get("app", avp.CREDIT_CONTROL))
            avps += [
                make(avp.HOST_IP_ADDRESS, b"\0\1\x7f\0\0\1"),
                make(avp.VENDOR_ID, 0),
                make(avp.PRODUCT_NAME, "stand-in"),
                make(avp.AUTH_APPLICATION_ID, application),
            ]
        if name[:2] in ("CE", "DW"):
            avps.append(make(avp.ORIGIN_STATE_ID, self.state_id))
        if name[2] == "A":
            return self.encode_answer(name, session, fields, avps)
        if name[:2] in ("CC", "AS"):
            avps += [make(avp.DESTINATION_REALM, "here"), make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL)]
        if name[:2] == "AS":
            avps.append(make(avp.DESTINATION_HOST, "n0"))
        if name[:2] == "CC":
            request_type = next(code for code, suffix in SUFFIX_BY_REQUEST_TYPE.items() if suffix == name[3:])
            avps += [
                make(avp.SERVICE_CONTEXT_ID, fields.get("svc", "race@there")),
                make(avp.CC_REQUEST_TYPE, request_type),
                make(avp.CC_REQUEST_NUMBER, 0),
            ]
            avps += [make(avp.DESTINATION_HOST, fields["dest"])] if "dest" in fields else []
            avps += [make(avp.OC_SUPPORTED_FEATURES, [])] if "oc" in fields else []
        for field, definition in SHOWN_AVPS.items():
            if field in fields and field != "svc":
                is_number = definition.data_format is not avp.DataFormat.TEXT
                avps.append(make(definition, int(fields[field]) if is_number else fields[field]))
        avps = [entry for entry in avps if str(entry.code) != fields.get("without")]
        avps += extra_avps(fields)
        self.last_id += 1
        command = next(code for code, short in COMMAND_NAMES.items() if short == name[:2])
        application = avp.CREDIT_CONTROL if command in (avp.CC, avp.AS) else 0
        flags = avp.REQUEST | (avp.RETRANSMITTED if "T" in fields else 0)
        return Message(
            int(fields.get("command", command)),
            int(fields.get("to", application)),
            self.last_id,
            int(fields.get("id", self.last_id)),
            flags,
            avps,
        ).encode()

    def encode_answer(self, name: str, session: str, fields: MessageFields, avps: list[Avp]) -> bytes:
        """Encodes an answer to the last request of this kind and session."""
        request = self.requests[f"{name[:2]}R{name[3:] or ('-I' if name == 'CCA' else '')}", session]
        result = int(fields["result"])
        return Message(
            request.command,
            request.application,
            request.hop_by_hop,
            request.end_to_end,
            avp.ERROR if 3000 <= result < 4000 else 0,
            [
                *avps,
                make(avp.RESULT_CODE, result),
                *extra_avps(fields),
                *([make(avp.CALLED_STATION_ID, fields["key"])] if "key" in fields else []),
            ],
        ).encode()

    def send(self, text: str) -> None:
        if text == "bare":
            self.bare = True
        elif text.startswith("state="):
            self.state_id = int(text[6:])
        else:
            super().send(text)

    def may_be_skipped(self, received: MessageFields) -> bool:
        return False

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        super().connectionLost(reason)
        record_event(self, "received", {"": "closed", "tag": ""})

    def close(self, how: str) -> None:
        record_event(self, "sent", {"": "closed", "tag": ""})
        super().close(how)


class DiameterWorld(World):
    """An agent with the Diameter front, and the log of all messages that its peers received and sent.

    An entry has the time, the peer, "received" or "sent", the message, and since when the decision module has
    taken no set-ups there (None: it does)."""

    actor = DiameterActor

    def __init__(self, record: dict[str, Any]) -> None:
        self.log: list[tuple[float, str, str, MessageFields, float | None]] = []
        super().__init__(record)


def record_event(actor: Actor, direction: str, message: MessageFields) -> None:
    """Adds a message to the log of the world."""
    world = actor.world
    if isinstance(world, DiameterWorld):
        agent = getattr(world, "agent", None)
        server = agent.rules.servers.get(actor.name) if agent is not None else None
        world.log.append(
            (world.clock.at, actor.name, direction, message, server.closed_since_ms if server else None)
        )


def audit(world: DiameterWorld) -> Iterator[str]:
    """Checks the log of the peers, and yields one line for each rule that the agent has broken."""
    server_by_session: dict[str, str] = {}  # session -> the server of its open attempt
    may_resend_at: dict[str, float] = {}  # session -> when it may be sent again, ms
    final_answers: dict[str, int] = {}
    set_ups: dict[str, int] = {}
    for at, peer, direction, message, closed_since_ms in world.log:
        name = message[""]
        call = message["tag"]
        if peer.startswith("c"):
            set_ups[call] = set_ups.get(call, 0) + (name == "CCR-I")
            final_answers[call] = final_answers.get(call, 0) + (name == "CCA-I")
            continue
        if name == "CCR-I":
            if call in server_by_session:
                yield f"{call}: two attempts out, at {server_by_session[call]} and {peer}"
            if at < may_resend_at.get(call, 0.0):
                yield f"{call}: sent again {may_resend_at[call] - at:.0f} ms too early"
            if closed_since_ms is not None and at > closed_since_ms + 2000.0:
                yield f"{call}: sent to {peer}, draining since {at - closed_since_ms:.0f} ms"
            server_by_session[call] = peer
        elif name.startswith("CCA") and direction == "sent" and server_by_session.get(call) == peer:
            del server_by_session[call]
        elif name == "CCR-T" and server_by_session.get(call) == peer:
            del server_by_session[call]
            may_resend_at[call] = at + 500.0
        elif name == "closed":
            for lost in [session for session, server in server_by_session.items() if server == peer]:
                del server_by_session[lost]
                may_resend_at[lost] = at + 500.0
    for call, count in final_answers.items():
        if call and count > set_ups[call]:
            yield f"{call}: {count} final answers to {set_ups[call]} requests"
