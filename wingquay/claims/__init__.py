"""Claims: an unrepeatable request runs at most once, also through several nodes.

The protocol and the argument why it is safe are in ``docs/design/at-most-once.md``.
"""
