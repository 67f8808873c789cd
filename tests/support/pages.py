"""Rows of the settings tables on the configuration page of the documentation."""

import dataclasses
import enum
import types
import typing
from collections.abc import Iterator

from msgspec import Meta

Row = tuple[str, str, str]


def settings_rows(table: type) -> Iterator[Row]:
    """Yield key, allowed values and default of each key that is not a nested table."""
    hints = typing.get_type_hints(table, include_extras=True)
    for item in dataclasses.fields(table):
        hint = hints[item.name]
        if dataclasses.is_dataclass(hint):
            continue
        yield item.name, format_allowed_values(hint), format_default(item)


def format_default(item: dataclasses.Field) -> str:
    """Return the default value as TOML, "not set", or "required" if there is none."""
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


def format_allowed_values(hint: object) -> str:
    """Return the type and the range of values of a key, as text."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return format_allowed_values(
            next(part for part in typing.get_args(hint) if part is not type(None))
        )
    if origin is typing.Literal:
        return " or ".join(f'"{value}"' for value in typing.get_args(hint))
    if origin is list:
        return "list of " + format_allowed_values(typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        return " or ".join(f'"{value}"' for value in hint)
    if origin is typing.Annotated:
        base, *metadata = typing.get_args(hint)
        meta = next(item for item in metadata if isinstance(item, Meta))
        return format_allowed_values(base) + _format_range(meta)
    return {"str": "string", "int": "integer", "float": "number", "bool": "boolean"}[hint.__name__]


def _format_range(meta: Meta) -> str:
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
