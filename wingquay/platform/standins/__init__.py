"""Stand-ins of the platform's store and replicas, for tests and soaks of nodes on the platform."""
