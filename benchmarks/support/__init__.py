"""What benchmarks share: configurations, processes, back ends, callers, accounting."""
