"""The files that hold the decisions, the limits on the decision module's source, and the README's example."""

from __future__ import annotations

import ast
import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
MODULE = (ROOT / "frostport" / "decide.py").read_text(encoding="utf-8")


def test_the_decisions_are_in_the_files_that_the_deploy_file_names() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    files = [(ROOT / name).resolve() for name in deploy["policy"]]
    assert all(file.is_file() and file.is_relative_to(ROOT.resolve() / "frostport") for file in files)
    assert ROOT.resolve() / "frostport" / "decide.py" in files


def test_the_module_stays_within_its_limits() -> None:
    lines = [line for line in MODULE.split("\n") if line.strip()]
    assert max(len(line) for line in lines) <= 110


def test_its_docstring_names_the_interface() -> None:
    docstring = ast.get_docstring(ast.parse(MODULE))
    assert docstring is not None and "frostport/interface.py" in docstring


def test_no_clock_no_input_and_no_hash_order() -> None:
    tree = ast.parse(MODULE)
    imported = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    assert imported == {"math", "random", "struct"}
    called = {
        node.func.id
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
    }
    assert called.isdisjoint({"hash", "id", "open", "print", "input", "frozenset"})


def test_the_readme_example_runs() -> None:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    example = re.search(r"```python\n(.*?)```", readme, re.DOTALL)
    assert example is not None
    names: dict[str, object] = {}
    exec(example.group(1), names)
    assert names["chosen"] == "10.0.0.1:5060"
