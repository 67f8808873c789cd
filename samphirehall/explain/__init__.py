"""One request's story, told from the log lines of several hosts."""
