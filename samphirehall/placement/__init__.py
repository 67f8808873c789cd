"""Decides engine roles, loaded models and endpoint counts of a zone; polls and drains endpoints."""
