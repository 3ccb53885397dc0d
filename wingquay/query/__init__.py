"""One query's life at the node that received it: plan, sub-requests, snapshot, merge, answer."""
