"""Explanation of single requests from the log lines of several hosts."""
