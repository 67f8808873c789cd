"""Peers: discovery of other hosts, connections to them, and dissemination of facts."""
