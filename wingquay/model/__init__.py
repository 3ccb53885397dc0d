"""Typed values that every layer shares: identifiers, key ranges, requests, answers, configuration."""
