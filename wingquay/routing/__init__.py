"""Which node owns a shard and which replica serves a sub-request."""
