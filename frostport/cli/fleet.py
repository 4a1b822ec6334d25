"""`frostport fleet` and `frostport work`: send a command to the operators' port of a running agent."""

from __future__ import annotations

import argparse
import socket
import sys

OPERATOR_COMMANDS = {"members": "members", "agreed": "agreed", "log": "agreed-log"}
TIMEOUT_S = 5.0


def run(options: argparse.Namespace) -> int:
    """Prints the answer; returns 0 if it is `OK`, 1 if not, 2 if the agent can't be reached."""
    host, _, port = options.door.rpartition(":")
    command = (
        OPERATOR_COMMANDS[options.what]
        if options.command == "fleet"
        else " ".join([f"work-{options.what}", *options.words])
    )
    try:
        with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as connection:
            connection.sendall(f"{command}\n".encode())
            answer = connection.makefile("rb").read().decode("utf-8", "replace")
    except (OSError, ValueError) as problem:
        print(f"frostport: {options.command}: {options.door}: {problem}", file=sys.stderr)
        return 2
    print(answer, end="")
    return 0 if answer.startswith("OK") else 1
