"""Who may connect, who makes room, and what is refused under pressure. Decisions only: events in, verdicts
out."""
