"""Decisions about forwarded requests: routes, choice of replicas, retries, hedges, merging."""
