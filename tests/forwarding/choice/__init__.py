"""Replays of loads against the choice among replicas."""
