"""Stand-ins for what surrounds the product: the models of the rehearsal on real sockets."""
