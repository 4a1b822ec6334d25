"""Datagrams and frames between agents: damaged input raises only the errors that are declared for it.

Also the fleet section of the configuration, field by field."""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import subprocess
import sys
from typing import Any

import jsonschema
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostport import config
from frostport.config import ConfigError
from frostport.core.clock import ManualClock
from frostport.core.deadlines import Deadlines
from frostport.maintenance.commands import Limits
from frostport.membership import messages
from frostport.membership.events import Send, Started, Tick
from frostport.membership.messages import BadMessageError, Info, Ping, State, Update
from frostport.membership.settings import Settings
from frostport.membership.swim import Swim
from frostport.net import link
from frostport.net.gossip import MAX_DATAGRAM_BYTES, DatagramCodec
from frostport.net.link import BadFrameError, Connection, Frame, FrameDecoder, Link, encode_frame
from standins.lobby import configuration

ROOT = pathlib.Path(__file__).parent.parent
CODEC = DatagramCodec("coastline", bytes(range(32)))
texts = st.text("abcdefghij0123456789.:-", max_size=messages.MAX_TEXT_BYTES)
names = st.text("abcdefghij-0123456789", min_size=1, max_size=messages.MAX_NAME_BYTES)
integers = st.integers(0, messages.INTEGER_LIMIT - 1)
infos = st.builds(Info, texts.filter(bool), integers, texts, texts, texts, texts)
updates = st.builds(Update, names, integers, st.sampled_from(State), infos, names)
any_message = st.one_of(
    st.builds(Ping, names, integers, names, st.tuples(updates)),
    st.builds(messages.Ack, names, integers, integers, st.tuples(updates)),
    st.builds(messages.PingReq, names, integers, names, texts),
    st.builds(messages.Nack, names, integers),
    st.builds(messages.Gossip, names, st.tuples(updates)),
    st.builds(messages.Join, names, integers, infos, st.booleans()),
    st.builds(messages.Welcome, names, integers, st.tuples(updates)),
    st.builds(messages.Refused, names, integers, texts),
)


@given(any_message)
def test_an_encoded_message_is_decoded_only_with_the_same_key_and_fleet(message: messages.Message) -> None:
    data = CODEC.encode(message)
    if len(data) <= MAX_DATAGRAM_BYTES:
        assert CODEC.decode(data) == message
        for other in (DatagramCodec("coastline", bytes(32)), DatagramCodec("another", bytes(range(32)))):
            with pytest.raises(BadMessageError):
                other.decode(data)


@settings(max_examples=300)
@given(any_message, st.data())
def test_truncated_and_altered_datagrams_are_rejected(message: messages.Message, data: st.DataObject) -> None:
    encoded = CODEC.encode(message)
    at = data.draw(st.integers(0, len(encoded) - 1))
    changed = bytearray(encoded)
    changed[at] ^= data.draw(st.integers(1, 255))
    for bad in (encoded[:at], bytes(changed), encoded + b"x"):
        with pytest.raises(BadMessageError):
            CODEC.decode(bad)
    body = messages.encode(message)
    for bad in (body[:at], bytes(changed[17:]), data.draw(st.binary(max_size=300))):
        with contextlib.suppress(BadMessageError):  # with a valid digest, either this error or a message
            messages.decode(bad)


def test_messages_with_the_longest_updates_fit_a_datagram() -> None:
    name = "n" * messages.MAX_NAME_BYTES
    text = "t" * messages.MAX_TEXT_BYTES
    info = Info(text, messages.INTEGER_LIMIT - 1, text, text, text, text)
    agent = Swim(name, info, messages.INTEGER_LIMIT >> 1, [text[1:]], Settings(), random.Random(1))
    now = 0.0
    longest = 0
    agent.handle(Started(), now)
    others = tuple(
        Update(f"{number:02}" + name[2:], messages.INTEGER_LIMIT - 1, State.ALIVE, info)
        for number in range(12)
    )
    agent.table.apply(others[0], now)
    for update in others:
        agent.pending_updates.add(update)
    carried = 0
    for _ in range(200):
        now = agent.next_ms()
        for action in agent.handle(Tick(), now):
            if isinstance(action, Send):
                longest = max(longest, len(CODEC.encode(action.message)))
                carried += len(getattr(action.message, "updates", ()))
    assert 200 < longest <= MAX_DATAGRAM_BYTES and carried > 20


@given(st.lists(st.builds(Frame, st.text(max_size=8), st.binary(max_size=200)), max_size=6), st.data())
def test_frames_are_read_from_any_segmentation(frames: list[Frame], data: st.DataObject) -> None:
    remaining = b"".join(map(encode_frame, frames))
    decoder = FrameDecoder()
    found = list[bytes]()
    while remaining:
        size = data.draw(st.integers(1, len(remaining)))
        found += decoder.feed(remaining[:size])
        remaining = remaining[size:]
    assert [msgspec.msgpack.decode(body, type=Frame) for body in found] == frames


@given(st.binary(max_size=2000))
def test_arbitrary_bytes_are_buffered_within_bounds_and_raise_only_bad_frame_error(data: bytes) -> None:
    decoder = FrameDecoder()
    try:
        for at in range(0, len(data), 50):
            decoder.feed(data[at : at + 50])
            assert len(decoder.buffer) <= link.MAX_HELLO_BYTES + 54
    except BadFrameError:
        pass


class RecordingTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True

    def loseConnection(self) -> None:  # noqa: N802
        self.aborted = True

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        pass

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        pass


def make_link(
    name: str, known: str = "ab"
) -> tuple[Link, ManualClock, Deadlines, list[tuple[str, str, bytes]]]:
    clock = ManualClock(1000.0)
    deadlines = Deadlines()
    received = list[tuple[str, str, bytes]]()
    own_link = Link(
        "coastline",
        name,
        1,
        clock,
        deadlines,
        lambda address, connection: None,
        lambda peer: "127.0.0.1:1" if peer in known else "",
        lambda *frame: received.append(frame),
        random.Random(1),
    )
    return own_link, clock, deadlines, received


def open_connection(own_link: Link, dialled: str = "") -> tuple[Connection, RecordingTransport]:
    connection = Connection(own_link, dialled)
    wire = RecordingTransport()
    connection.transport = wire
    connection.connectionMade()
    return connection, wire


@pytest.mark.parametrize(
    "first",
    [
        link.Hello(1, "another", "b", 1),
        link.Hello(2, "coastline", "b", 1),
        link.Hello(1, "coastline", "c", 1),
    ],
)
def test_a_connection_of_an_unknown_agent_is_closed(first: link.Hello) -> None:
    own_link, _, _, received = make_link("a")
    connection, wire = open_connection(own_link)
    connection.dataReceived(encode_frame(first) + encode_frame(Frame("raft", b"x")))
    assert wire.aborted and not received and not own_link.connections


def test_of_two_crossing_connections_the_one_of_the_lesser_name_stays_and_silence_closes_it() -> None:
    own_link, clock, deadlines, received = make_link("a")
    ours, our_wire = open_connection(own_link, "b")
    theirs, their_wire = open_connection(own_link)
    theirs.dataReceived(encode_frame(link.Hello(1, "coastline", "b", 1)))
    ours.dataReceived(encode_frame(link.Hello(1, "coastline", "b", 1)))
    assert own_link.connections["b"] is ours and their_wire.aborted and not our_wire.aborted
    ours.dataReceived(encode_frame(Frame("raft", b"x")))
    assert received == [("b", "raft", b"x")]
    for _ in range(6):
        clock.at += link.HEARTBEAT_MS
        deadlines.run(clock.now())
    assert our_wire.aborted and not own_link.connections


def test_a_peer_that_does_not_read_fills_a_bounded_queue_and_is_then_disconnected() -> None:
    own_link, clock, deadlines, _ = make_link("a")
    connection, wire = open_connection(own_link, "b")
    connection.dataReceived(encode_frame(link.Hello(1, "coastline", "b", 1)))
    connection.pauseProducing()
    taken = [own_link.send("b", "raft", bytes(500_000)) for _ in range(12)]
    assert (
        taken.count(True) == 8 and own_link.refused == 4 and connection.queued_bytes <= link.MAX_QUEUE_BYTES
    )
    clock.at += link.WRITE_STALL_TIMEOUT_MS
    deadlines.run(clock.now())
    assert wire.aborted
    assert not own_link.send("c", "raft", b"x")  # its address is unknown


# The configuration

FLEET: dict[str, Any] = {
    "name": "coastline",
    "key": "00" * 16,
    "gossip": "127.0.0.1:7001",
    "link": "127.0.0.1:7101",
    "path": "x.fleet",
    "voters": ["n0"],
}
SCHEMA = json.loads((ROOT / "deploy" / "config.schema.json").read_text(encoding="utf-8"))


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"key": "xyz"}, "fleet.key: not hexadecimal"),
        ({"key": "00"}, "fleet.key: must be 16 to 64 bytes, got 1"),
        ({"voters": ["a", "b"]}, "fleet.voters: must be 1, 3, 5 or 7 different names"),
        ({"voters": ["a", "a", "b"]}, "fleet.voters"),
        ({"gossip": "nowhere"}, "fleet.gossip: not host:port"),
        ({"seeds": ["x"]}, "fleet.seeds.0: not host:port"),
        ({"link": None}, "fleet.link: not host:port"),
        ({"colour": 1}, "fleet.colour: unknown field"),
        ({"zone": "z" * 30}, "fleet.zone: over 21 bytes"),
        ({"routes": {"x": "y"}}, "fleet.routes"),
        ({"work": {"all": "x"}}, "fleet.work.all: expected a value of type int, got str"),
        ({"work": {"some": 1}}, "fleet.work.some: unknown field"),
        (
            {"work": {"all": 10**400}},
            "fleet.work.all: must be at least 0 and below 1e12, got 1000000000",
        ),
        ({"work": {"margin": -1}}, "fleet.work.margin: must be at least 0 and below 1e12, got -1"),
        ({"compact_after": 5}, "fleet.compact_after: must be at least 100, got 5"),
        ({"path": ""}, "fleet.path: must be a non-empty string"),
    ],
)
def test_a_bad_field_is_named_in_the_error(change: dict[str, Any], message: str) -> None:
    record = {**configuration(1, []), "fleet": {**FLEET, **change}}
    with pytest.raises(ConfigError, match=message):
        config.read(record)


def test_a_valid_fleet_section_is_read_and_matches_the_schema() -> None:
    record = {**configuration(1, []), "fleet": FLEET}
    jsonschema.validate(record, SCHEMA)
    read = config.read(record).fleet
    assert read is not None and read.agent == "n0" and read.voters == ("n0",)
    from frostport.config_fleet import FIELDS

    assert set(SCHEMA["properties"]["fleet"]["properties"]) == set(FIELDS)
    limits = SCHEMA["properties"]["fleet"]["properties"]["work"]["properties"]
    assert {name: each["default"] for name, each in limits.items()} == msgspec.structs.asdict(Limits())
    for number in (1, 2, 3):
        path = ROOT / "deploy" / "fleet" / f"agent-{number}.json"
        jsonschema.validate(json.loads(path.read_text(encoding="utf-8")), SCHEMA)
        assert config.load(path).fleet is not None


def test_without_a_fleet_section_no_module_of_it_is_imported() -> None:
    code = (
        "import sys, frostport.agent, frostport.cli\n"
        "print([name for name in sys.modules if name.startswith(('frostport.fleet', 'structlog', "
        "'frostport.membership', 'frostport.agreement', 'frostport.maintenance', "
        "'frostport.fleet_maintenance', 'frostport.net.link', 'frostport.net.gossip', "
        "'frostport.config_fleet', 'frostport.observe.record', 'frostport.startup', "
        "'frostport.startup_coordinator', 'frostport.list_distribution', 'frostport.config_startup', "
        "'frostport.replication'))])"
    )
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
