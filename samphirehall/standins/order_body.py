"""Reading the body of an order with a timeout."""

import anyio
from starlette.requests import Request
from starlette.responses import Response

ORDER_BODY_TIMEOUT_SECONDS = 1.0
STATUS_REQUEST_TIMEOUT = 408


async def read_order_body(request: Request) -> bytes | None:
    """Return the body, or None if it is incomplete after `ORDER_BODY_TIMEOUT_SECONDS`.

    A sender may write the head and the body of an order separately. With the
    timeout, an order whose sender was paused after the head is never read.
    """
    with anyio.move_on_after(ORDER_BODY_TIMEOUT_SECONDS):
        return await request.body()
    return None


def body_timeout_response() -> Response:
    """Return the response to an order whose body timed out; it closes the connection."""
    return Response(status_code=STATUS_REQUEST_TIMEOUT, headers={"Connection": "close"})
