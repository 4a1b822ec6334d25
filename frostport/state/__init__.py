"""What the agent remembers over a restart, and how it comes back. Plain objects: no files, no wires."""
