"""The way of a raw HTTP request: route, admission, choice of endpoints, attempts and answer."""
