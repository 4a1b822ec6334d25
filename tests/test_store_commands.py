"""The store's configuration, its schema, and the `store` sub-commands."""

from __future__ import annotations

import copy
import json
import pathlib
from typing import Any

import jsonschema
import pytest

from frostport import config
from frostport.cli import main
from frostport.state import records
from frostport.store.engine import Engine
from frostport.store.files import DiskFolder

ROOT = pathlib.Path(__file__).parent.parent
SCHEMA = json.loads((ROOT / "deploy" / "config.schema.json").read_text(encoding="utf-8"))
EXAMPLES = ("store.json", "diameter.json")


def example(name: str = "store.json") -> dict[str, Any]:
    """Loads an example configuration."""
    loaded: dict[str, Any] = json.loads((ROOT / "deploy" / name).read_text(encoding="utf-8"))
    return loaded


@pytest.mark.parametrize("name", EXAMPLES)
def test_the_examples_keep_to_the_schema_and_are_read(name: str) -> None:
    jsonschema.validate(example(name), SCHEMA)
    config.load(ROOT / "deploy" / name)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("path", ""),
        ("path", 3),
        ("durability", "sometimes"),
        ("on_failure", "retry"),
        ("interval_ms", 0),
        ("stall_ms", -1),
        ("stall_ms", "1"),
        ("segment_bytes", 1024),
        ("segment_bytes", 2.5),
        ("record_bytes", 1),
        ("store_bytes", 2**50),
        ("checkpoint_records", 0),
        ("size", 3),
    ],
)
def test_a_bad_field_of_the_store_is_named(
    field: str, value: object, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    record = copy.deepcopy(example())
    record["store"][field] = value
    del record["contracts"]
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(record, SCHEMA)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(record), encoding="utf-8")
    assert main(["check-config", "--config", str(path)]) == 2
    message = capsys.readouterr().err
    assert message.startswith(f"frostport: configuration: store.{field}: ") and message.count("\n") == 1


def test_the_schema_names_what_the_reader_knows() -> None:
    known = set(config.StoreConfig.__dataclass_fields__)
    assert set(SCHEMA["properties"]["store"]["properties"]) == known
    for field, entry in SCHEMA["properties"]["store"]["properties"].items():
        if "default" in entry:
            assert config.StoreConfig.__dataclass_fields__[field].default == entry["default"]
        if field in config.STORE_SIZES:
            assert (entry["minimum"], entry["maximum"]) == config.STORE_SIZES[field]


def run_store_command(capsys: pytest.CaptureFixture[str], *arguments: object) -> tuple[int, str, str]:
    """Runs a `store` sub-command; returns exit status, standard output and standard error."""
    code = main(["store", *map(str, arguments)])
    out, err = capsys.readouterr()
    return code, out, err


def test_commands(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "s"
    engine = Engine.open(DiskFolder(path))
    engine.append([("call/a", records.encode(records.Open("h0", 1.0, 2.0, 1, "race", "t", "c", 7)))])
    engine.append([("bus", records.encode(records.Bus(number, 2, 3.0))) for number in range(100)])
    engine.sync()
    code, out, _ = run_store_command(capsys, "verify", path)
    assert code == 0 and "sound: 2 records" in out and "101 of 101 acknowledged" in out
    assert run_store_command(capsys, "compact", path)[0] == 2  # the engine above holds its lock
    assert run_store_command(capsys, "backup", path, tmp_path / "copy")[0] == 0
    engine.close()
    code, out, _ = run_store_command(capsys, "dump", tmp_path / "copy")
    lines = [json.loads(line) for line in out.splitlines()]
    assert lines == [
        {"key": "bus", "kind": "Bus", "offset": 99, "version": 2, "at": 3.0},
        {
            "key": "call/a",
            "kind": "Open",
            "server": "h0",
            "at": 1.0,
            "not_before": 2.0,
            "attempts": 1,
            "service": "race",
            "team": "t",
            "client": "c",
            "identity": 7,
        },
    ]
    code, out, _ = run_store_command(capsys, "compact", path)
    before = int(out.split()[0])
    after = int(out.split()[3])
    assert code == 0 and after < before / 10
    assert run_store_command(capsys, "repair", path) == (0, "sound: nothing was changed\n", "")


def test_commands_name_file_and_offset(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "s"
    engine = Engine.open(DiskFolder(path))
    engine.append([("bus", records.encode(records.Bus(1, 2, 3.0)))])
    engine.sync()
    engine.append([("node", records.encode(records.Node(1, 3.0)))])
    engine.close()
    log = path / "log-0000000001"
    data = log.read_bytes()
    log.write_bytes(data[:-3])
    code, _, err = run_store_command(capsys, "verify", path)
    assert (code, err.count("\n")) == (2, 1) and err.startswith("frostport: store: log-0000000001:")
    record = {**example(), "listen": "127.0.0.1:0", "store": {"path": "s"}}
    del record["contracts"]
    (tmp_path / "config.json").write_text(json.dumps(record), encoding="utf-8")
    assert main(["serve", "--config", str(tmp_path / "config.json")]) == 2
    assert capsys.readouterr().err.splitlines()[-1].startswith("frostport: store: log-0000000001:")
    code, out, _ = run_store_command(capsys, "repair", path)
    assert code == 0 and "bytes that hold no sound record" in out and "were acknowledged and are lost" in out
    assert run_store_command(capsys, "verify", path)[0] == 0
    for arguments in (("verify", tmp_path / "none"), ("dump", tmp_path), ("backup", path, path)):
        code, _, err = run_store_command(capsys, *arguments)
        assert (code, err.count("\n")) == (2, 1)


def test_without_a_store_nothing_of_it_is_loaded(tmp_path: pathlib.Path) -> None:
    import subprocess
    import sys

    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, frostport.agent, frostport.cli; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    ).stdout.split()
    assert "frostport.core.recorder" in loaded
    heavy = {
        "sqlite3",
        "msgspec",
        "google_crc32c",
        "frostport.store",
        "frostport.state",
        "frostport.durability",
    }
    assert not heavy & set(loaded)
