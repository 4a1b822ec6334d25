"""Scripted parties and fault injection that tests, trials and benchmarks share; agents do not import them."""
