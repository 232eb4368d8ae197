"""The daemon: configuration, fronts, cache side, signals, readiness, counters and logging."""
