"""Planned maintenance of machines: the replicated plan and the reconciler of each agent.

Decisions only, no I/O.
"""
