"""The operators' declarative configuration: documents, checks, versions and apply."""
