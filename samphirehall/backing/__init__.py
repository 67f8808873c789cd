"""Client of the backing service: table, objects, hosts, endpoints, orders, usage, weights."""

from samphirehall.backing.client import Platform
from samphirehall.backing.table import Check, Row, Table, TransactionResult, Write

__all__ = ["Check", "Platform", "Row", "Table", "TransactionResult", "Write"]
