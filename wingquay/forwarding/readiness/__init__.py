"""Whether this node takes new callers, and how it stops."""
