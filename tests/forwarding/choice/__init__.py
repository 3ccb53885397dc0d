"""Load simulations that test the selection of replicas."""
