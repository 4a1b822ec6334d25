"""The agreed log: a log replicated among the agents of a fleet, after the Raft thesis (Ongaro 2014)."""
