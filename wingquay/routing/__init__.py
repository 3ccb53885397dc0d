"""Ownership of shards, selection of replicas for sub-requests, and fair queueing."""
