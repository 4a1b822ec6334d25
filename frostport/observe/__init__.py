"""Observability: logs, event records and metrics."""
