"""Start local clusters of real processes and run benchmarks on them."""
