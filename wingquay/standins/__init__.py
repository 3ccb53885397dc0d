"""Stand-ins for what surrounds the product: the models of the simulation on real sockets."""
