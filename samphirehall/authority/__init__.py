"""Leases with fencing numbers, and the order journal."""
