"""Stand-ins and helpers of the cases of the second review."""
