"""Readiness check of the load balancer."""

from collections.abc import Callable
from typing import Any

from samphirehall.forwarding.answers import Receive, Scope, Send, send_response

READY, NOT_READY = 200, 503


def readiness_app(is_ready: Callable[[], bool], path: str) -> Any:
    """Return the ASGI application that serves the readiness check.

    Parameters
    ----------
    is_ready : callable
        Returns whether the host accepts new connections.
    path : str
        Path of the check; any other gets status 404.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == path:
            status = READY if is_ready() else NOT_READY
        await send_response(send, status, [], b"")

    return app
