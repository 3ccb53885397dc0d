"""Handles what follows a send: hedges, answers, failures and the reply to the caller."""
