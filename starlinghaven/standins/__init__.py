"""Stand-ins for outside systems, on loopback only: balancers, for the project's own tests."""
