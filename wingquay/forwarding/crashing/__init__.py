"""Detects requests that crash replicas and keeps them away from the replicas."""
