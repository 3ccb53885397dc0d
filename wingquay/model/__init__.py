"""Typed values that every layer shares: identifiers, ranges, requests, answers, settings."""
