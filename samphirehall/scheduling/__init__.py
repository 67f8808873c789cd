"""Decisions on how requests share the endpoints, learned by all hosts together."""
