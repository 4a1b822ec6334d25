"""Cold starts: paced dialing, the server list passed on within the fleet, staged readiness.

Only decisions: the modules here open no connection and read no clock.
"""
