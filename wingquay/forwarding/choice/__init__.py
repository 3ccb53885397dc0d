"""Selection of the replica that receives a request, and the replica state it is based on."""
