"""Checks on a request between its arrival and the first message sent for it."""
