"""Networking: JSON lines to clients and servers, the event bus, links and datagrams between agents."""
