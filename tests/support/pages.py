"""Rendering of settings tables as the page on configuration shows them."""

import dataclasses
import enum
import types
import typing
from collections.abc import Iterator

from msgspec import Meta

Row = tuple[str, str, str]


def rows(table: type) -> Iterator[Row]:
    """Yield key, allowed values and default of each plain key of a table."""
    hints = typing.get_type_hints(table, include_extras=True)
    for item in dataclasses.fields(table):
        hint = hints[item.name]
        if dataclasses.is_dataclass(hint):
            continue
        yield item.name, allowed(hint), default(item)


def default(item: dataclasses.Field) -> str:
    """Return the default as TOML, or that the key is required."""
    if item.default is not dataclasses.MISSING:
        value = item.default
    elif item.default_factory is not dataclasses.MISSING:
        value = item.default_factory()
    else:
        return "required"
    if value is None:
        return "not set"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(f'"{part}"' for part in value) + "]"
    return f"{value:_}" if isinstance(value, int) else str(value)


def allowed(hint: object) -> str:
    """Return the type and range of a key."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return allowed(next(part for part in typing.get_args(hint) if part is not type(None)))
    if origin is typing.Literal:
        return " or ".join(f'"{value}"' for value in typing.get_args(hint))
    if origin is list:
        return "list of " + allowed(typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        return " or ".join(f'"{value}"' for value in hint)
    if origin is typing.Annotated:
        base, *metadata = typing.get_args(hint)
        meta = next(item for item in metadata if isinstance(item, Meta))
        return allowed(base) + _range(meta)
    return {"str": "string", "int": "integer", "float": "number", "bool": "boolean"}[hint.__name__]


def _range(meta: Meta) -> str:
    bounds = []
    if meta.gt is not None:
        bounds.append(f"over {meta.gt:_}")
    if meta.ge is not None:
        bounds.append(f"from {meta.ge:_}")
    if meta.le is not None:
        bounds.append(f"to {meta.le:_}")
    if meta.min_length is not None:
        bounds.append(f"of {meta.min_length} characters or more")
    if meta.pattern is not None:
        bounds.append(f"like `{meta.pattern}`")
    if (meta.extra or {}).get("format") == "address":
        bounds.append("of an IP number and port")
    return (" " if bounds else "") + " ".join(bounds)
