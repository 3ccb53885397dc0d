"""What is decided about a request before anything is sent for it."""
