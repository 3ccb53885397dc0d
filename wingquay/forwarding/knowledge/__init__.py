"""The store's contents, the other nodes and the freshness of both, as one node tracks them."""
