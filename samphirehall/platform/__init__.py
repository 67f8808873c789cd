"""Adapter to the users' platform: the only place that knows its names, paths and formats."""
