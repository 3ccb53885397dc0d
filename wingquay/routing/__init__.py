"""Ownership of shards, selection of replicas by the owners, and fair queueing.

Replica selection here is used by ``query`` and ``admission``; ``forwarding`` has its own in
``forwarding.choice``.
"""
