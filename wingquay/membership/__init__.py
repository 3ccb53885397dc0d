"""Which nodes and replicas there are: alive, suspect, leaving, gone."""
