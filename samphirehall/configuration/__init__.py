"""Declarative configuration by operators: TOML documents, validation, versions and storage."""
