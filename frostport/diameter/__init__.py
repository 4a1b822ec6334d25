"""Diameter towards clients (the front) and lobby servers (the route).

The base protocol is RFC 6733, with the watchdog of RFC 3539, credit control (RFC 8506) for set-ups and
releases, and overload reports (RFC 7683) in refusals.
"""
