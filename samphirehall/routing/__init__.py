"""Selection of the endpoint that serves a request."""
