"""Request handling: routing, admission, endpoint selection, attempts and the response."""
