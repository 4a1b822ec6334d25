"""Replication among call agents: streams, copies, epochs, the rule for copies that differ. Decisions only."""
