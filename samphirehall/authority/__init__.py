"""Leases with fencing numbers, and the journal of orders sent by their holders."""
