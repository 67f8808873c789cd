"""Leases with fencing numbers, and the journal of orders given under them."""
