"""The owner's side: queues by class, slots of replicas, hedges, retries, refusals."""
