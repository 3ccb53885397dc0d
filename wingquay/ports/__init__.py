"""Interfaces between the decision code and the adapters: events in, actions out."""
