"""Hosts that find each other and tell each other facts."""
