"""Operator API routes for configuration and customer keys."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import msgspec
from starlette.requests import Request

from samphirehall.configuration.documents import CustomerPart, Part, check_documents
from samphirehall.configuration.store import (
    ConfigurationConflictError,
    Pointer,
    apply_configuration,
    fetch_configuration,
    read_history,
    read_pointer,
    read_version,
)
from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.decoding import decode, parse_unsigned, shorten
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import BAD_REQUEST, NOT_FOUND, PLATFORM_UNAVAILABLE
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.node.in_force import HostsInForce
from samphirehall.node.watch import poll_configuration

IN_FORCE_TIMEOUT_SECONDS = 9.0
IN_FORCE_POLL_INTERVAL_SECONDS = 0.05
MAX_WITHDRAW_ATTEMPTS = 8
WITHDRAWN_FACT_LIFETIME_SECONDS = 86_400.0
LOGGED_DIGEST_CHARACTERS = 12

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class ApplyRequest:
    """Request body of `apply`: complete documents by file name.

    `base_version` is the version that the change is based on, or None for
    whichever version is in force.
    """

    documents: dict[str, dict[str, Any]]
    author: str = "operator"
    base_version: int | None = None


@dataclass(slots=True)
class ApplyAnswer:
    """Response of `apply`: the hosts that reported the version in force, and the others."""

    version: int
    hosts_in_force: list[str] = field(default_factory=list)
    hosts_unknown: list[str] = field(default_factory=list)


@dataclass(slots=True)
class WithdrawRequest:
    """Request body of `withdraw_key`; `digest` is the digest of the key."""

    digest: str
    author: str = "operator"


@dataclass(slots=True)
class WithdrawAnswer:
    """Response of `withdraw_key`; `customer` is empty if no configuration lists the key."""

    customer: str
    version: int
    hosts_in_force: list[str] = field(default_factory=list)
    hosts_unknown: list[str] = field(default_factory=list)


async def apply(context: ControlContext, request: Request) -> ApplyAnswer:
    """Apply documents and return the hosts on which they are in force after a bounded wait."""
    body = decode(await request.body(), msgspec.json.Decoder(ApplyRequest))
    deadline = boot_seconds() + IN_FORCE_TIMEOUT_SECONDS
    pointer = await apply_configuration(
        context.platform,
        check_documents(body.documents),
        base_version=body.base_version,
        author=body.author,
        now=wall_seconds(),
    )
    context.newest_pointer = pointer
    hosts = await _wait_in_force(context, pointer.version, deadline=deadline)
    return ApplyAnswer(pointer.version, hosts.in_force, hosts.unknown)


async def show(context: ControlContext, request: Request) -> Any:
    """Return the configuration in force on this host, or the version given in the query."""
    configuration = context.state.configuration
    requested_version = request.query_params.get("version")
    if requested_version is not None:
        configuration = await _fetch_version(context, requested_version)
    return {"version": configuration.version, "parts": dict(configuration.parts)}


async def list_history(context: ControlContext, request: Request) -> list[Pointer]:
    """Return the accepted versions, newest first."""
    return await read_history(context.platform)


async def withdraw_key(context: ControlContext, request: Request) -> WithdrawAnswer:
    """Refuse a key on every reachable host at once, then remove it from the configuration."""
    body = decode(await request.body(), msgspec.json.Decoder(WithdrawRequest))
    now = boot_seconds()
    context.state.fact_store.publish(
        FactKind.KEY_WITHDRAWN, body.digest, None, lifetime=WITHDRAWN_FACT_LIFETIME_SECONDS, now=now
    )
    log_decision(
        _log,
        "key-withdrawn",
        "operator",
        digest=body.digest[:LOGGED_DIGEST_CHARACTERS],
        author=body.author,
    )
    try:
        customer, version = await _remove_key(context, body)
    except PlatformUnavailableError as error:
        detail = (
            f"{error}; the key is refused for {WITHDRAWN_FACT_LIFETIME_SECONDS / 3600:.0f} hours "
            "on every reachable host, but the configuration still lists it: withdraw the key again"
        )
        raise SamphireError(PLATFORM_UNAVAILABLE, detail) from error
    hosts = await _wait_in_force(context, version, deadline=now + IN_FORCE_TIMEOUT_SECONDS)
    return WithdrawAnswer(customer, version, hosts.in_force, hosts.unknown)


async def _remove_key(context: ControlContext, body: WithdrawRequest) -> tuple[str, int]:
    """Remove a key from the configuration; return its customer and the version without it."""
    for _ in range(MAX_WITHDRAW_ATTEMPTS):
        pointer, _row = await read_pointer(context.platform)
        if pointer is None:
            return "", 0
        configuration = await fetch_configuration(
            context.platform, pointer, context.gate.newest_available
        )
        customer = configuration.find_customer_name(body.digest)
        if customer is None:
            return "", pointer.version
        try:
            new_pointer = await apply_configuration(
                context.platform,
                without_key(configuration.parts, customer, body.digest),
                base_version=pointer.version,
                author=body.author,
                now=wall_seconds(),
            )
        except ConfigurationConflictError:
            continue
        context.newest_pointer = new_pointer
        return customer, new_pointer.version
    raise PlatformUnavailableError(
        f"{MAX_WITHDRAW_ATTEMPTS} attempts conflicted with concurrent changes"
    )


def without_key(parts: Mapping[str, Part], customer: str, digest: str) -> dict[str, Part]:
    """Return the parts of a configuration without one key of a customer."""
    name = f"customers/{customer}"
    part = parts[name]
    if not isinstance(part, CustomerPart):
        raise TypeError(f"configuration part {name!r} is not a customer")
    remaining_digests = [other for other in part.key_digests if other != digest]
    return {**parts, name: replace(part, key_digests=remaining_digests)}


async def _wait_in_force(context: ControlContext, version: int, *, deadline: float) -> HostsInForce:
    """Wait until a version is in force on every host that is not known to be down."""
    try:
        await poll_configuration(context)
    except PlatformUnavailableError as error:
        log_decision(_log, "platform-unavailable", str(error), version=version)
    while True:
        hosts = context.read_hosts_in_force(version)
        if set(hosts.unknown) <= set(hosts.down) or boot_seconds() >= deadline:
            return hosts
        await anyio.sleep(IN_FORCE_POLL_INTERVAL_SECONDS)


async def _fetch_version(context: ControlContext, requested_version: str) -> Configuration:
    version = parse_unsigned(requested_version)
    if version is None:
        shown = shorten(requested_version)
        raise SamphireError(
            BAD_REQUEST, f"version = {shown!r}: must be a whole number of at least 0"
        )
    pointer = await read_version(context.platform, version)
    if pointer is None:
        raise SamphireError(NOT_FOUND, f"version {requested_version} is not in the history")
    return await fetch_configuration(context.platform, pointer, context.gate.newest_available)
