"""The control plane at a given size: hollow nodes that share one process, on a virtual clock."""
