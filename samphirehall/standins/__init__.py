"""Stand-ins for the platform, model engines and plain services, with fault switches."""
