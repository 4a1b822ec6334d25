"""Cold starts: turns instead of a rush, the server list by the fleet, ready in waves. Decisions only."""
