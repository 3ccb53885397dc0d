"""How calls are sent to replicas: attempts, waiting calls, budgets and latencies."""
