"""HTTP responses that the stand-ins share."""

from typing import Any

import msgspec
from starlette.responses import Response


def json_response(value: Any) -> Response:
    """Return a 200 response with `value` as its JSON body."""
    return Response(msgspec.json.encode(value), media_type="application/json")
