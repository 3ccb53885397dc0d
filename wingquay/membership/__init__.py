"""Membership: which nodes and replicas exist, and in which state they are."""
