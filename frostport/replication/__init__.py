"""Replication of state among call agents: streams, copies, epochs and reconciliation. Pure logic, without
I/O.
"""
