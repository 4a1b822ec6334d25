"""The version of the program."""

VERSION = "0.5.0"
