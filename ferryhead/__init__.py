"""ferryhead: overload decisions for an edge proxy in front of a few core servers."""

from ferryhead.logic import Controller

__all__ = ["Controller"]
