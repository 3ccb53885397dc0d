"""Policies that wingquay is measured against."""
