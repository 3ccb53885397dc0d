"""A whole small system in one process: store, back ends, two nodes, and a caller."""
