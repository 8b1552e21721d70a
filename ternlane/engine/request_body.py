"""Bodies of POST /v1/chat/completions to engines (docs/engine-protocol.md). No I/O."""

from __future__ import annotations

from typing import Any

import msgspec


def prefill_body(raw: dict[str, Any]) -> bytes:
    """The body for a prefill server: it generates one token and keeps the state for another engine to fetch."""
    body = {k: v for k, v in raw.items() if k not in ("stream_options", "max_completion_tokens")}
    body.update(
        stream=False,
        max_tokens=1,
        kv_transfer_params={
            "do_remote_decode": True,
            "do_remote_prefill": False,
            "remote_engine_id": None,
            "remote_block_ids": None,
            "remote_host": None,
            "remote_port": None,
        },
    )
    return msgspec.json.encode(body)


def decode_body(raw: dict[str, Any], state: dict[str, Any], max_tokens: int) -> bytes:
    """The body for a decode server: the prefill server's parameters with do_remote_prefill."""
    body = combined_body(raw, max_tokens)
    body["kv_transfer_params"] = {**state, "do_remote_decode": False, "do_remote_prefill": True}
    return msgspec.json.encode(body)


def combined_body(raw: dict[str, Any], max_tokens: int) -> dict[str, Any]:
    """The client's request as a stream with usage, limited to `max_tokens`."""
    body = {k: v for k, v in raw.items() if k not in ("max_completion_tokens", "kv_transfer_params")}
    body.update(stream=True, max_tokens=max_tokens, stream_options={"include_usage": True})
    return body
