"""Composes the machines of one node."""
