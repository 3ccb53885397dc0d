"""Sending of requests to replicas: attempts, quotas, queueing and rejection."""
