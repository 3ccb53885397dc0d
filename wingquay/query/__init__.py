"""The coordinator of queries: plans sub-requests, pins a snapshot, merges results, answers."""
