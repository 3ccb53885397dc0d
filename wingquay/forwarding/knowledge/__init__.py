"""What a node knows of the store, of the other nodes and of itself."""
