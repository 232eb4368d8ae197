"""Balancer health: what the proxy tells balancers (state machine, wire words, operator settings)."""
