"""Small stand-ins for systems outside, for `dev`, tests and benchmarks."""
