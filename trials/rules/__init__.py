"""Protocol rules. Each is a pure function from an indexed history to the violations it finds."""
