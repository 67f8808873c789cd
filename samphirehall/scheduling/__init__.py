"""Scheduling decisions from what a host knows of endpoints and customers."""
