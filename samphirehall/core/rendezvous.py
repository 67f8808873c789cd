"""Rendezvous hashing: members agree on an assignment without communicating.

Reference: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
Rendezvous", 1996.
"""

from collections.abc import Iterable

import xxhash


def ranked(members: Iterable[str], subject: str) -> list[str]:
    """Return the members by their weight for a subject, highest first."""
    return sorted(members, key=lambda member: (_weight(member, subject), member), reverse=True)


def is_chosen(member: str, members: Iterable[str], subject: str, *, count: int = 1) -> bool:
    """Return whether `member` is among the `count` members of highest weight."""
    member_rank = (_weight(member, subject), member)
    higher_ranked = sum(
        1 for other in members if other != member and (_weight(other, subject), other) > member_rank
    )
    return higher_ranked < count


def _weight(member: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{member}\x00{subject}".encode())
