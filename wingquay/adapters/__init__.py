"""Adapters between the ports and the outside: sockets, settings, logs, metrics."""
