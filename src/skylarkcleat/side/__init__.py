"""The side process: stands beside a runner and gives it its orders."""
