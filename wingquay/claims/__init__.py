"""Claims: ensure that an unrepeatable request runs at most once, even if several nodes receive it.

``docs/design/at-most-once.md`` describes the protocol and its safety argument.
"""
