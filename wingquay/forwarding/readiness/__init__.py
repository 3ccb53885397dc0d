"""Whether this node accepts new callers, and how it stops."""
