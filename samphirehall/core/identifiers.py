"""Identifiers and digests."""

import hashlib
import secrets

import xxhash

KEY_PREFIX = "sk-samphire-"
_KEY_BYTES = 24
_ID_BYTES = 8


def new_identifier(kind: str) -> str:
    """Return a random identifier such as ``req-5f0c…``; `kind` is its prefix."""
    return f"{kind}-{secrets.token_hex(_ID_BYTES)}"


def new_customer_key() -> str:
    """Return a random customer key; it is shown once and only its digest is stored."""
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def key_digest(key: str) -> str:
    """Return the digest under which a customer key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def content_digest(content: bytes) -> str:
    """Return the digest that addresses an object by its content."""
    return hashlib.sha256(content).hexdigest()


def fingerprint(content: bytes) -> str:
    """Return a 128-bit non-cryptographic hash; collisions are improbable but possible."""
    return xxhash.xxh3_128_hexdigest(content)
