"""Reading the body of an order within a short time."""

import anyio
from starlette.requests import Request
from starlette.responses import Response

ORDER_READ_SECONDS = 1.0
STATUS_TIMEOUT = 408


async def read_order_body(request: Request) -> bytes | None:
    """Return the body, or None if it is not there soon after the head.

    The read limit is what makes an order in two parts safe: the body of a
    sender that was paused after the head is never read.
    """
    with anyio.move_on_after(ORDER_READ_SECONDS):
        return await request.body()
    return None


def read_closed() -> Response:
    """Return the answer to an order without a body; the connection is closed after it."""
    return Response(status_code=STATUS_TIMEOUT, headers={"Connection": "close"})
