"""The load and experiment tool: arrivals, measurements and reports."""
