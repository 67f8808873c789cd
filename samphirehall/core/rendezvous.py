"""Rendezvous hashing: members agree on an assignment without communicating.

Reference: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
Rendezvous", 1996.
"""

import math
from collections.abc import Iterable, Mapping

import xxhash

_HASH_RANGE = 2.0**64


def ranked(members: Iterable[str], subject: str) -> list[str]:
    """Return the members by their weight for a subject, highest first."""
    return sorted(members, key=lambda member: (_weight(member, subject), member), reverse=True)


def ranked_by_size(sizes: Mapping[str, float], subject: str) -> list[str]:
    """Return members of different sizes by their weight for a subject, highest first.

    A member is the first for a share of all subjects that is proportional to its size. With equal
    sizes the order is that of `ranked`.

    Reference: Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005.
    """
    if len(set(sizes.values())) <= 1:
        return ranked(sizes, subject)

    def score(member: str) -> tuple[float, str]:
        fraction = (_weight(member, subject) + 0.5) / _HASH_RANGE
        return -sizes[member] / math.log(min(fraction, 1 - 1e-16)), member

    return sorted(sizes, key=score, reverse=True)


def is_chosen(member: str, members: Iterable[str], subject: str, *, count: int = 1) -> bool:
    """Return whether `member` is among the `count` members of highest weight."""
    member_rank = (_weight(member, subject), member)
    higher_ranked = sum(
        1 for other in members if other != member and (_weight(other, subject), other) > member_rank
    )
    return higher_ranked < count


def _weight(member: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{member}\x00{subject}".encode())
