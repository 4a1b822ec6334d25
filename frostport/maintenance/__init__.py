"""Planned maintenance of machines: the replicated plan, each agent's reconciler. Decisions only, no I/O."""
