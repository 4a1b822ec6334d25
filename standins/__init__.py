"""Scripted stand-ins that tests, benchmarks and rigs share. The agent imports none of them."""
