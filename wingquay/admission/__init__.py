"""The owner of shards: queues sub-requests by class, hedges, retries and refuses them."""
