"""Meters, windows and reports of what customers used."""
