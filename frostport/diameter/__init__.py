"""The Diameter front and route."""
