"""Serve language models from a limited fleet whose prompt-to-output mix shifts."""
