"""Sockets and their memory: rings, connections, the listener and the outbound pool."""
