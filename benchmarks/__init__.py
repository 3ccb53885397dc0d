"""Benchmarks: what a query, a sub-request and an exchange cost, beside a baseline of the same run.

``python -m benchmarks`` (``make bench``) runs every module of this package that has a ``main``;
``python -m benchmarks NAME --flag`` runs one of them. Modules under ``support`` are shared parts.
"""
