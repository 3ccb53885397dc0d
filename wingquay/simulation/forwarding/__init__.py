"""Deterministic simulation of nodes that pass requests on, with faults and an oracle."""
