"""Clients of endpoints: engine protocol, connection pools, orders, reports and event streams."""
