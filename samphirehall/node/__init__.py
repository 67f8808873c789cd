"""Host state: facts, endpoints, configuration, and the link between the host's two processes."""
