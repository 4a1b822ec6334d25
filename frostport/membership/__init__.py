"""Membership and failure detection: SWIM with Lifeguard's suspicion timeouts and local health multiplier.

Plain objects: events in, actions out. The caller owns sockets, clock and timers.
"""
