"""The command line: `serve`, which is the default, and commands that inspect stores, contracts and fleets."""

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

STORE_COMMANDS = {
    "verify": "read all of a store and say whether it is sound, also beside a running agent",
    "dump": "print what is kept, a JSON line a record",
    "backup": "copy a store to an empty folder, also beside a running agent",
    "compact": "clean a store that no agent uses",
    "repair": "make a sound store of what can be read, and say exactly what is dropped",
}


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser; `command` is None if no command is given, which `main` handles as `serve`."""
    parser = argparse.ArgumentParser(prog="frostport", description="A call agent before a few lobby servers.")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
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
    for what, does in STORE_COMMANDS.items():
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
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command; returns the exit code: 2 if a configuration, contract or store is invalid."""
    options = build_parser().parse_args(arguments)
    if options.command == "version":
        print(f"frostport {VERSION}")
        return 0
    if options.command in ("fleet", "work"):
        from frostport.cli import fleet

        return fleet.run(options)
    if options.command == "store":
        from frostport.cli.store import run

        return run(options)
    try:
        if options.command == "contracts":
            for contract in config.load_contracts(options.file):
                print(
                    f"{contract.service}: aim {contract.aim_ms:g} ms, "
                    f"deadline {contract.deadline_ms:g} ms, {contract.attempts} attempts, "
                    f"{contract.set_ups_per_second:g} set-ups a second for each team"
                )
            return 0
        path = config.find_path(getattr(options, "config", None), os.environ)
        if options.command != "check-config":
            # Until the agent sets its handler: the start reads the current configuration anyway.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
        loaded = config.apply_environment(config.load(path), os.environ)
        inherited = config.inherited_listener(os.environ) if options.command != "check-config" else None
    except config.ConfigError as problem:
        what = "contracts" if options.command == "contracts" else "configuration"
        print(f"frostport: {what}: {problem}", file=sys.stderr)
        return 2
    if options.command == "check-config":
        print(f"configuration of {loaded.name or 'a call agent'} is sound")
        return 0
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    from frostport.agent import serve

    gc.freeze()  # imported modules stay loaded: excludes them from garbage collection
    if loaded.store is None and loaded.fleet is None:
        return serve(loaded, path, inherited=inherited)
    from frostport.store.errors import StoreError

    try:
        return serve(loaded, path, inherited=inherited)
    except StoreError as problem:
        print(f"frostport: store: {problem}", file=sys.stderr)
        return 2
