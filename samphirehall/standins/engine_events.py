"""Server-sent events of the engine stand-in's completions."""

from collections.abc import Callable

from samphirehall.standins.tokens import TokenSource


def event_encoder(request_id: str, model: str, source: TokenSource) -> Callable[[int], bytes]:
    """Return a function that encodes the token event at an index."""
    middle = (
        f'\ndata: {{"id":"{request_id}","object":"chat.completion.chunk",'
        f'"model":"{model}","choices":[{{"index":0,"delta":{{"content":"'
    )
    suffix = '"},"finish_reason":null}]}\n\n'
    prefix = f"id: {request_id}:"
    return lambda index: f"{prefix}{index}{middle}{source.token_at_index(index)}{suffix}".encode()


def encode_final_event(request_id: str, tokens: int, prompt_tokens: int) -> bytes:
    """Return the event with the token usage, followed by the end marker."""
    return (
        f'id: {request_id}:{tokens}\ndata: {{"id":"{request_id}","object":"chat.completion.chunk",'
        '"choices":[{"index":0,"delta":{},"finish_reason":"length"}],'
        f'"usage":{{"prompt_tokens":{prompt_tokens},"completion_tokens":{tokens}}}}}\n\n'
        f"id: {request_id}:{tokens + 1}\ndata: [DONE]\n\n"
    ).encode()
