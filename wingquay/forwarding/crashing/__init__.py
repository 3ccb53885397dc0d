"""Requests under which replicas end: how they are told from innocent ones, and stopped."""
