"""Roles, models and endpoint counts; drain and reclaim."""
