"""The fleet lab: many proxies, faults between them, one history, checkers and a report. Not in the daemon."""
