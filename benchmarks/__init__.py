"""Measurements of simulations and real processes, started by hand; the tests run none of them."""
