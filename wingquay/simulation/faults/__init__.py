"""Faults, each by name; a run may have any of them together, at any moment, and twice."""
