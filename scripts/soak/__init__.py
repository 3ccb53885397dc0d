"""A soak of the deployed node as real processes: faults, clients, checks and a report."""
