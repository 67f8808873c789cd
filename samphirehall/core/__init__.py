"""Shared basics: result codes, errors, clocks, identifiers, HTTP, framing, logging, plug-ins."""
