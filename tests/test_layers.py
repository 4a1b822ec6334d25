"""The layers of the packages, and the parts that the deploy file names."""

from __future__ import annotations

import ast
import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent


def imported(path: pathlib.Path) -> set[str]:
    """All modules that a file imports, and the names that it imports from them, as dotted names."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
            names.update(f"{node.module}.{name.name}" for name in node.names)
    return names


# The layer of each package and root module: each imports lower layers only, and none of its own layer.
LAYERS = {
    "interface": 1,
    "settings": 1,
    "version": 1,
    "decide": 2,
    "adapter": 2,
    "core": 2,
    "admission": 3,
    "state": 3,
    "membership": 3,
    "agreement": 3,
    "maintenance": 3,
    "replication": 3,
    "startup": 3,
    "store": 3,
    "observe": 3,
    "net": 4,
    "diameter": 4,
    "config": 5,
    "config_fleet": 5,
    "config_startup": 5,
    "startup_coordinator": 6,
    "list_distribution": 6,
    "diameter_side": 6,
    "agent": 6,
    "durability": 6,
    "platform_side": 6,
    "operations": 6,
    "handover": 6,
    "fleet": 6,
    "deadline_runner": 6,
    "fleet_maintenance": 6,
    "cli": 7,
    "__main__": 8,
}
# Imports that are allowed against the layers.
EXCEPTIONS = {
    ("settings", "interface"),
    ("adapter", "settings"),
    ("adapter", "decide"),  # the simulator's protocol
    ("store", "core"),  # the clock and the deadlines of the committer
    ("agent", "durability"),
    ("agent", "platform_side"),
    ("agent", "operations"),  # the agent creates these three
    ("durability", "handover"),
    ("agent", "fleet"),
    ("agent", "deadline_runner"),
    ("fleet", "deadline_runner"),
    ("fleet", "fleet_maintenance"),
    ("config", "config_startup"),
    ("config_startup", "config"),
    ("agent", "startup_coordinator"),
    ("startup_coordinator", "fleet"),
    ("startup_coordinator", "list_distribution"),
    ("list_distribution", "fleet"),
    ("config", "config_fleet"),
    ("config_fleet", "config"),  # a section of it, imported only where it is configured
    ("durability", "platform_side"),
    ("durability", "diameter_side"),
    ("agent", "diameter_side"),
    ("diameter_side", "platform_side"),
    ("handover", "durability"),
    ("fleet_maintenance", "fleet"),  # only for types
    ("cli", "cli"),
}
# Libraries and modules that a package must not import.
FORBIDDEN = {
    "core": ("twisted", "socket", "orjson", "sqlite3", "msgspec"),
    "state": ("twisted", "socket", "os", "pathlib", "sqlite3"),
    "store": ("twisted", "socket"),
    "observe": ("twisted", "socket", "os"),
    "membership": ("twisted", "socket", "os", "pathlib", "time", "frostport.core.clock"),
    "agreement": ("twisted", "socket", "os", "pathlib", "time", "frostport.core.clock"),
    "maintenance": ("twisted", "socket", "os", "pathlib", "time", "frostport.core.clock"),
    "replication": ("twisted", "socket", "os", "pathlib", "time", "frostport.core.clock"),
    "startup": ("twisted", "socket", "os", "pathlib", "time", "frostport.core.clock"),
    "admission": ("twisted", "socket", "os", "pathlib", "orjson"),
}
FILES = sorted((ROOT / "frostport").rglob("*.py"))


def package(path: pathlib.Path) -> str:
    """The package of frostport, or the root module, to which a file belongs."""
    inside = path.relative_to(ROOT / "frostport")
    return inside.parts[0].removesuffix(".py")


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT / "frostport")))
def test_a_package_imports_lower_layers_only(path: pathlib.Path) -> None:
    importer = package(path)
    if importer == "__init__":
        return
    for name in imported(path):
        if name.startswith("frostport."):
            target = name.split(".")[1]
            if target in LAYERS and target != importer:
                assert LAYERS[target] < LAYERS[importer] or (importer, target) in EXCEPTIONS, (
                    f"{path.name} imports {name}"
                )
        assert not name.startswith(FORBIDDEN.get(importer, ("-",))) or name.startswith("frostport"), name


def test_the_agent_imports_no_test_code() -> None:
    test_packages = {"standins", "tests", "benchmarks"}
    for path in FILES:
        assert not [name for name in imported(path) if name.split(".")[0] in test_packages]


def test_the_deploy_file_names_every_part_of_the_agent() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["run"] == "exec .venv/bin/python -m frostport"
    assert deploy["policy"] == ["frostport/decide.py"]
    simulator = {"frostport/__init__.py", "frostport/adapter.py", "frostport/interface.py", *deploy["policy"]}
    parts = {str(path.relative_to(ROOT)) for path in (ROOT / "frostport").rglob("*.py")}
    named = {part for part in parts for node in deploy["node"] if part == node or part.startswith(node + "/")}
    assert parts - named == simulator


REFUSED = {
    "subprocess",
    "multiprocessing",
    "concurrent.futures.process",
    "os.fork",
    "os.forkpty",
    "os.system",
    "os.popen",
    "os.posix_spawn",
    "os.execv",
    "os.sendfile",
    "os.splice",
    "pty",
    "socket.AF_UNIX",
    "socket.socketpair",
    "ctypes",
}


def refused_in(path: pathlib.Path) -> set[str]:
    """The names used in a file that the platform refuses: programs, fork, splice, sendfile, Unix sockets."""
    used = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            used.add(f"{node.value.id}.{node.attr}")
    return (imported(path) | used) & REFUSED


def test_run_is_one_process_that_uses_nothing_refused() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["run"].startswith("exec ")
    assert not set(deploy["run"]) & set(";&|`$()<>")  # one command, nothing before or after it
    node = [ROOT / part for part in deploy["node"]]
    files = [file for part in node for file in ([part] if part.is_file() else sorted(part.rglob("*.py")))]
    assert files
    assert {str(file.relative_to(ROOT)): refused_in(file) for file in files if refused_in(file)} == {}
