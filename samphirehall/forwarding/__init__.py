"""The life of one request: from the caller's bytes to the whole answer."""
