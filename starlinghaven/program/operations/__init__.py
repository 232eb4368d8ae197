"""What operators and balancers use: console, settings, health checks, and what outlives a process."""
