"""Metering of customers' usage, its storage by time window, and its reports to the platform."""
