"""What one host knows: facts, endpoints, configuration, and the link of its two processes."""
