"""Adapter to the users' platform.

No other package contains the platform's names, paths and message formats.
"""
