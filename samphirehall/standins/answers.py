"""Answers of the stand-ins."""

from typing import Any

import msgspec
from starlette.responses import Response


def json_answer(value: Any) -> Response:
    """Return an answer with a JSON body."""
    return Response(msgspec.json.encode(value), media_type="application/json")
