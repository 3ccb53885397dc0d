"""Limits on the rate and burst of each tenant across all nodes."""
