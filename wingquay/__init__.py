"""wingquay: a query tier that spans many shards."""

__version__ = "0.1.0"
