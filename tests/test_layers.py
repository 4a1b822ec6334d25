"""Who may import whom, and what the deploy file names."""

from __future__ import annotations

import ast
import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
CORE = sorted((ROOT / "frostport" / "core").glob("*.py"))


def imported(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
            names.update(f"{node.module}.{name.name}" for name in node.names)
    return names


@pytest.mark.parametrize("path", CORE, ids=lambda path: path.name)
def test_the_core_knows_no_wire(path: pathlib.Path) -> None:
    forbidden = ("twisted", "frostport.net", "frostport.diameter", "frostport.agent", "socket", "orjson")
    assert not [name for name in imported(path) if name.startswith(forbidden)]


def test_the_deploy_file_names_every_part_of_the_agent() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["run"] == "exec .venv/bin/python -m frostport"
    assert deploy["policy"] == ["frostport/decide.py"]
    simulator = {"frostport/__init__.py", "frostport/adapter.py", "frostport/interface.py", *deploy["policy"]}
    parts = {str(path.relative_to(ROOT)) for path in (ROOT / "frostport").rglob("*.py")}
    named = {part for part in parts for node in deploy["node"] if part == node or part.startswith(node + "/")}
    assert parts - named == simulator
