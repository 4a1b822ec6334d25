"""The state that survives a restart: its records, and how they are made, merged and restored; no I/O."""
