"""Short trials of real processes under combined faults, with a checker of the protocol's rules.

Nothing here is imported by the agent. `python -m trials` plays one trial a seed; see docs/trials.md.
"""
