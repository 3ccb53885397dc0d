"""Rate and burst of a tenant, summed over all nodes."""
