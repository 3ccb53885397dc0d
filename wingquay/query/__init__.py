"""The coordinator: plans sub-requests, pins a snapshot version, merges results, answers.

A query is a caller's request while its coordinator processes it.
"""
