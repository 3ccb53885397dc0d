"""Which replica gets a request: what is known of each, and the choice among them."""
