"""Deterministic simulation: virtual clock, models of the surroundings, faults, oracle."""
