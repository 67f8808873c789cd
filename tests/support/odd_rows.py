"""Values that another writer may leave in rows of the product's own table."""

import pytest

from samphirehall.backing.table import Row, Write

ODD_VALUES = [
    None,
    "text",
    7,
    [],
    {},
    10**400,
    {"closed": True, "counts": {"acme": 10**400}},
    {"closed": True, "counts": [1]},
    {"era": 0, "counts": {"acme": -1}},
    {"parts": "deadly", "last_crash": 1.0},
    {"parts": ["deadly"], "last_crash": 10**400},
    {"holder": "other", "fencing": 2**63, "ttl": 3.0},
    {"holder": "other", "fencing": 1, "ttl": 1e300},
]
odd_values = pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value)[:40])


def leave(table, key, value):
    """Write a row as another writer; None stands for one that holds no JSON."""
    table.store.transact([], [Write(key, "")])
    (row,) = table.store.read([key])
    table.store._rows[key] = Row(key, row.version, value)
