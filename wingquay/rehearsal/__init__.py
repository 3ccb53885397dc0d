"""Deterministic rehearsal: virtual clock, models of the surroundings, faults, oracle."""
