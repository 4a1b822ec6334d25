"""Admission control: which connections are accepted, which are closed to make room, what overload refuses.

Decisions only: events in, verdicts out. The fronts accept and close the connections.
"""
