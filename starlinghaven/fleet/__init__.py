"""Membership and news between edge proxies: SWIM with Lifeguard, stance and weighed facts. No I/O."""
