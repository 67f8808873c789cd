"""Client of the platform: table, objects, hosts, endpoints, endpoint orders, usage, weights."""

from samphirehall.platform.client import Platform
from samphirehall.platform.table import Check, Row, Table, TransactionResult, Write

__all__ = ["Check", "Platform", "Row", "Table", "TransactionResult", "Write"]
