"""Admission of requests: authentication, rate limits, fair queues and overload."""
