"""Endpoints: the engine protocol, connection pools, orders, and the view used for routing."""
