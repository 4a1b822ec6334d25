"""Event types, logs, records and figures: what the program tells of itself."""
