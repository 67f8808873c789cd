"""Forwarding of requests: from the bytes that a caller sends to the complete answer."""
