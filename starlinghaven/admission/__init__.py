"""Admitting connections: caps by address and network, a reserve for known clients (no I/O)."""
