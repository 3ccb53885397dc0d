"""Combines the state machines of one node."""
