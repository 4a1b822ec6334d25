"""frostport: a call agent with overload control, for an edge proxy in front of a few core servers."""

from frostport.decide import Controller

__all__ = ["Controller"]
