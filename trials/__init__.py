"""Short trials of real agent processes under combined faults, and a checker of the protocol's rules.

The agent imports nothing from here. `python -m trials` plays one trial per seed; see docs/trials.md.
"""
