"""Load generator: arrivals, scheduled faults, measurements and reports."""
