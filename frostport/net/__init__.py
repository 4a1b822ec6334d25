"""The platform's wires: JSON lines to clients and lobby servers, the event bus, datagrams between agents."""
