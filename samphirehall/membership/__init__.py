"""Peers: finding other hosts, talking to them, and telling them what is new."""
