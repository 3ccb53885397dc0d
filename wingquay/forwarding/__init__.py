"""Decisions about requests that are passed on unchanged: routes, replicas, hedges, merging."""
