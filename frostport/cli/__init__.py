"""The command line: `serve` (also without a word) and the commands that look at things."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import pathlib
import signal
import sys
from collections.abc import Sequence

from frostport import config
from frostport.version import VERSION

STORE = {
    "verify": "read all of a store and say whether it is sound, also beside a running agent",
    "dump": "print what is kept, a JSON line a record",
    "backup": "copy a store to an empty folder, also beside a running agent",
    "compact": "clean a store that no agent uses",
    "repair": "make a sound store of what can be read, and say exactly what is dropped",
}


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="frostport", description="A call agent before a few lobby servers.")
    commands = made.add_subparsers(dest="command", metavar="COMMAND")
    serve = commands.add_parser("serve", help="run the call agent (the default)")
    check = commands.add_parser("check-config", help="read a configuration and say what is wrong with it")
    for command in (serve, check):
        command.add_argument(
            "--config",
            metavar="FILE",
            help=f"the configuration; else the file that {config.CONFIG_VARIABLE} names",
        )
    contracts = commands.add_parser("contracts", help="read a service's OpenAPI or AsyncAPI description")
    contracts.add_argument("file", metavar="FILE", type=pathlib.Path)
    stores = commands.add_parser("store", help="look after an embedded store").add_subparsers(
        dest="what", metavar="WHAT", required=True
    )
    for what, does in STORE.items():
        command = stores.add_parser(what, help=does)
        command.add_argument("folder", metavar="FOLDER", type=pathlib.Path)
        if what == "backup":
            command.add_argument("target", metavar="TARGET", type=pathlib.Path)
    fleet = commands.add_parser("fleet", help="ask a running agent's door about its fleet")
    fleet.add_argument("what", choices=("members", "agreed", "log"))
    fleet.add_argument("--door", metavar="HOST:PORT", required=True, help="the agent's `operator` address")
    work = commands.add_parser("work", help="work on machines: ask a running agent's door")
    work.add_argument(
        "what", choices=("request", "status", "ready", "hold", "go-on", "cancel", "force", "limits")
    )
    work.add_argument(
        "words",
        nargs="*",
        metavar="WORD",
        help="a machine's name, or names=A,B zone=Z takes=30m within=8h urgent=yes who=ME "
        "why=TEXT; limits: all=2 margin=0.3 ...",
    )
    work.add_argument("--door", metavar="HOST:PORT", required=True, help="any agent's `operator` address")
    commands.add_parser("version", help="print the version")
    return made


def main(arguments: Sequence[str] | None = None) -> int:
    given = parser().parse_args(arguments)
    if given.command == "version":
        print(f"frostport {VERSION}")
        return 0
    if given.command in ("fleet", "work"):
        from frostport.cli import fleet

        return fleet.run(given)
    if given.command == "store":
        from frostport.cli.store import run

        return run(given)
    try:
        if given.command == "contracts":
            for contract in config.load_contracts(given.file):
                print(
                    f"{contract.service}: aim {contract.aim_ms:g} ms, "
                    f"deadline {contract.deadline_ms:g} ms, {contract.attempts} attempts, "
                    f"{contract.set_ups_per_second:g} set-ups a second for each team"
                )
            return 0
        path = config.find_path(getattr(given, "config", None), os.environ)
        if given.command != "check-config":
            signal.signal(signal.SIGHUP, signal.SIG_IGN)  # what it asks for is done already, at the start
        loaded = config.from_environment(config.load(path), os.environ)
        inherited = config.inherited_listener(os.environ) if given.command != "check-config" else None
    except config.ConfigError as problem:
        what = "contracts" if given.command == "contracts" else "configuration"
        print(f"frostport: {what}: {problem}", file=sys.stderr)
        return 2
    if given.command == "check-config":
        print(f"configuration of {loaded.name or 'a call agent'} is sound")
        return 0
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    from frostport.agent import serve

    gc.freeze()  # what was imported stays: the collector need not look at it again
    if loaded.store is None and loaded.fleet is None:
        return serve(loaded, path, inherited=inherited)
    from frostport.store.errors import StoreError

    try:
        return serve(loaded, path, inherited=inherited)
    except StoreError as problem:
        print(f"frostport: store: {problem}", file=sys.stderr)
        return 2
