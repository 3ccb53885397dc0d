"""Stand-ins of clients, replicas and the platform's store, for the cases of the review."""
