"""Reading and checking of settings files; all problems of a file are reported together."""

import dataclasses
import tomllib
import typing
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from samphirehall.core.decoding import parse_address
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import SETTINGS_INVALID

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class SettingsProblem:
    """Problem in a settings file.

    Parameters
    ----------
    file : str
        Path of the file.
    key : str
        Dotted name of the key; ``file`` if the file itself cannot be read.
    value : object
        Value in the file; None if the key is missing.
    allowed : str
        What is allowed, or why the value was refused.
    """

    file: str
    key: str
    value: object
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key} = {self.value!r}: {self.allowed}"


class SettingsError(SamphireError):
    """Error that lists all problems of a settings file in `problems`."""

    def __init__(self, problems: list[SettingsProblem]) -> None:
        super().__init__(SETTINGS_INVALID, "; ".join(map(str, problems)))
        self.problems = problems


def load_settings(path: str | Path, settings_type: type[T]) -> T:
    """Read and check a TOML file.

    Parameters
    ----------
    path : str or Path
        File to read.
    settings_type : type
        Dataclass with one field for each allowed table.

    Raises
    ------
    SettingsError
        Lists every unknown or missing key, wrong type, value out of range and invalid address.
    """
    file = str(path)
    try:
        document = tomllib.loads(Path(path).read_text())
    except OSError as error:
        problem = SettingsProblem(file, "file", file, f"a readable file ({error.strerror})")
        raise SettingsError([problem]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError([SettingsProblem(file, "file", file, f"TOML ({error})")]) from error
    problems: list[SettingsProblem] = []
    settings = build_checked(settings_type, document, file=file, prefix="", problems=problems)
    if problems:
        raise SettingsError(problems)
    return typing.cast(T, settings)


def settings_loader(settings_type: type[T]) -> Callable[[str], T]:
    """Return a function that loads files as `settings_type`; see `load_settings`."""
    return lambda path: load_settings(path, settings_type)


def build_checked(
    table_type: type,
    document: dict[str, Any],
    *,
    file: str,
    prefix: str,
    problems: list[SettingsProblem],
) -> Any:
    """Build an instance of `table_type` from a table of a document.

    Appends to `problems` and returns None if the table is invalid.
    """
    hints = typing.get_type_hints(table_type, include_extras=True)
    known_fields = {table_field.name: table_field for table_field in dataclasses.fields(table_type)}
    problems_before = len(problems)
    for key in document.keys() - known_fields.keys():
        allowed = "unknown key; allowed: " + ", ".join(sorted(known_fields))
        problems.append(SettingsProblem(file, prefix + key, document[key], allowed))
    values: dict[str, Any] = {}
    for name, table_field in known_fields.items():
        if name in document:
            values[name] = _check_value(
                hints[name], document[name], file=file, key=prefix + name, problems=problems
            )
        elif table_field.default is table_field.default_factory is dataclasses.MISSING:
            problems.append(SettingsProblem(file, prefix + name, None, "required"))
    if len(problems) > problems_before:
        return None
    try:
        return table_type(**values)
    except ValueError as error:
        problems.append(SettingsProblem(file, prefix.rstrip("."), None, str(error)))
        return None


def _check_value(
    hint: Any, value: Any, *, file: str, key: str, problems: list[SettingsProblem]
) -> Any:
    if dataclasses.is_dataclass(hint):
        if not isinstance(value, dict):
            problems.append(SettingsProblem(file, key, value, "a table"))
            return None
        return build_checked(
            typing.cast(type, hint), value, file=file, prefix=key + ".", problems=problems
        )
    try:
        checked = msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        problems.append(SettingsProblem(file, key, value, str(error)))
        return None
    if _is_address_type(hint) and not valid_address(checked):
        allowed = "an IP number and a port from 1 to 65535, such as 10.0.0.7:8000"
        problems.append(SettingsProblem(file, key, value, allowed))
    return checked


def _is_address_type(hint: Any) -> bool:
    metadata = getattr(hint, "__metadata__", ())
    return any((item.extra or {}).get("format") == "address" for item in metadata)


def valid_address(address: str) -> bool:
    """Return whether `address` is an IP number and a port."""
    return parse_address(address) is not None
