"""The kernel: result codes, errors, clocks, identifiers, frames, logging and plug-ins."""
