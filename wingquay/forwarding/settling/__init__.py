"""What follows a send: second replicas, answers and failures, and the reply that ends it."""
