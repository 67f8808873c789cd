"""Events that the engine stand-in writes."""

from collections.abc import Callable

from samphirehall.standins.tokens import TokenSource


def event_writer(request_id: str, model: str, source: TokenSource) -> Callable[[int], bytes]:
    """Return a function that writes the event at an index."""
    middle = (
        f'\ndata: {{"id":"{request_id}","object":"chat.completion.chunk",'
        f'"model":"{model}","choices":[{{"index":0,"delta":{{"content":"'
    )
    tail = '"},"finish_reason":null}]}\n\n'
    head = f"id: {request_id}:"
    return lambda index: f"{head}{index}{middle}{source.at(index)}{tail}".encode()


def last_event(request_id: str, tokens: int, prompt_tokens: int) -> bytes:
    """Return the event with the usage, and the end marker."""
    return (
        f'id: {request_id}:{tokens}\ndata: {{"id":"{request_id}","object":"chat.completion.chunk",'
        '"choices":[{"index":0,"delta":{},"finish_reason":"length"}],'
        f'"usage":{{"prompt_tokens":{prompt_tokens},"completion_tokens":{tokens}}}}}\n\n'
        f"id: {request_id}:{tokens + 1}\ndata: [DONE]\n\n"
    ).encode()
