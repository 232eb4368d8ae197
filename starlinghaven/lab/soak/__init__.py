"""Random faults, drawn from a seed, on real processes over loopback; judged by checkers of the rules."""
