"""Matrices of simulated runs on several processes, and reports about them."""
