"""Typed interfaces between the decision code and the outside: events in, actions out."""
