"""The broker's core: requests, attempts and outcomes. It knows no wire and imports no network code."""
