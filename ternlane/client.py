"""A small client of the chat API for Python tools, based on httpx (the extra `client`).

    with Client("http://127.0.0.1:8080", api_key) as client:
        for text in client.stream({"model": "summary", "messages": [...]}):
            print(text, end="")

It retries like the JavaScript client: after a rejection, at the time that Retry-After names; after a refused
connection, as nothing was sent; after other failures only requests that the caller declares `idempotent`; never a
stream that has begun.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Any

import httpx

DEFAULT_RETRY_AFTER_MS = 500.0  # after a rejection without Retry-After
FIRST_BACKOFF_MS = 100.0  # doubled with each retry
BACKOFF_JITTER = 0.1  # share of the delay, so that clients do not retry in step


class ClientError(Exception):
    """`may_have_run`: the request may have had its effect. `begun`: a part of the stream was received."""

    def __init__(
        self,
        why: str,
        status: int = 0,
        code: str | None = None,
        param: str | None = None,
        may_have_run: bool = False,
        begun: bool = False,
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(why)
        self.status = status
        self.code = code
        self.param = param
        self.may_have_run = may_have_run
        self.begun = begun
        self.retry_after_ms = retry_after_ms


class RequestError(ClientError):
    """The request is invalid and must not be repeated unchanged: status 400, 401, 404, 409, 413, 422."""


class Rejected(ClientError):
    """The request was rejected and did not run; `retry_after_ms` is the time until a retry."""


class Failed(ClientError):
    """The gateway terminated the request, or its stream broke; it may have run."""


class Unconnected(ClientError):
    """The gateway could not be reached, or the connection broke."""


def error_from_response(response: httpx.Response) -> ClientError:
    """The exception for an unsuccessful response."""
    try:
        error = response.json().get("error") or {}
    except (ValueError, AttributeError):
        error = {}
    why = error.get("message") or f"HTTP {response.status_code}"
    fields: dict[str, Any] = {"status": response.status_code, "code": error.get("code"), "param": error.get("param")}
    if response.status_code in (429, 503):
        return Rejected(why, retry_after_ms=retry_delay_ms(response.headers), **fields)
    if response.status_code >= 500:
        return Failed(why, may_have_run=True, **fields)
    return RequestError(why, **fields)


def retry_delay_ms(headers: httpx.Headers) -> float:
    """The time until a retry, in ms."""
    for name, scale in (("retry-after-ms", 1.0), ("retry-after", 1000.0)):
        try:
            return max(0.0, float(headers[name]) * scale)
        except (KeyError, ValueError):
            continue
    return DEFAULT_RETRY_AFTER_MS


class Client:
    """`retries`: retries at most. A delay longer than `max_retry_after_ms` is not waited for."""

    def __init__(
        self,
        base_url: str,
        api_key: str | None = None,
        retries: int = 2,
        max_retry_after_ms: float = 30e3,
        timeout_s: float = 600.0,
    ) -> None:
        headers = {"authorization": f"Bearer {api_key}"} if api_key else {}
        self.http = httpx.Client(base_url=base_url.rstrip("/"), headers=headers, timeout=timeout_s)
        self.retries = retries
        self.max_retry_after_ms = max_retry_after_ms

    def __enter__(self) -> Client:
        return self

    def __exit__(self, kind: type[BaseException] | None, why: BaseException | None, at: TracebackType | None) -> None:
        self.http.close()

    @contextmanager
    def open_response(
        self, request: dict[str, Any], stream: bool, key: str | None, idempotent: bool, request_timeout_ms: float | None
    ) -> Iterator[httpx.Response]:
        """Opens a response with status 200; retries as described in the module's doc comment."""
        body = {**request, "stream": stream} | ({"stream_options": {"include_usage": True}} if stream else {})
        headers = {"idempotency-key": key} if key else {}
        if request_timeout_ms:
            headers["x-ternlane-time-limit-ms"] = f"{request_timeout_ms:.1f}"
        for attempt in range(self.retries + 1):
            delay_ms = FIRST_BACKOFF_MS * 2**attempt
            try:
                response = self.http.send(
                    self.http.build_request("POST", "/v1/chat/completions", json=body, headers=headers), stream=True
                )
            except httpx.ConnectError as why:
                error: ClientError = Unconnected(f"could not connect to the gateway: {why}")
            except httpx.TransportError as why:
                error = Unconnected(f"no response from the gateway: {why}", may_have_run=True)
            else:
                if response.status_code == 200:
                    try:
                        yield response
                    finally:
                        response.close()
                    return
                response.read()
                response.close()
                error = error_from_response(response)
                delay_ms = error.retry_after_ms if error.retry_after_ms is not None else delay_ms
            safe_to_repeat = isinstance(error, Rejected) or (isinstance(error, Unconnected) and not error.may_have_run)
            if (
                attempt == self.retries
                or delay_ms > self.max_retry_after_ms
                or not (safe_to_repeat or (idempotent and error.may_have_run))
            ):
                raise error
            time.sleep(delay_ms * (1 + BACKOFF_JITTER * random.random()) / 1000)

    def stream(
        self,
        request: dict[str, Any],
        key: str | None = None,
        idempotent: bool = False,
        request_timeout_ms: float | None = None,
    ) -> Iterator[str]:
        """The text, piece by piece. Closing the iterator cancels the request at the gateway."""
        begun = done = False
        with self.open_response(request, True, key, idempotent, request_timeout_ms) as response:
            try:
                for line in response.iter_lines():
                    if not line.startswith("data:"):
                        continue
                    data = line[5:].strip()
                    if data == "[DONE]":
                        done = True
                        continue
                    event = json.loads(data)
                    if "error" in event:
                        raise Failed(event["error"]["message"], may_have_run=True, begun=begun)
                    for choice in event["choices"]:
                        text = choice["delta"].get("content")
                        if text:
                            begun = True
                            yield text
            except httpx.TransportError as why:
                raise Unconnected(f"stream interrupted: {why}", may_have_run=True, begun=begun) from why
        if not done:
            raise Unconnected("stream ended before [DONE]", may_have_run=True, begun=begun)

    def complete(
        self,
        request: dict[str, Any],
        key: str | None = None,
        idempotent: bool = False,
        request_timeout_ms: float | None = None,
    ) -> dict[str, Any]:
        """The complete answer: text, finish reason, usage."""
        with self.open_response(request, False, key, idempotent, request_timeout_ms) as response:
            completion = json.loads(response.read())
        choice = completion["choices"][0]
        return {"text": choice["message"]["content"], "finish": choice["finish_reason"], "usage": completion["usage"]}

    def models(self) -> list[str]:
        """The names of the models that the gateway offers."""
        response = self.http.get("/v1/models")
        if response.status_code != 200:
            raise error_from_response(response)
        return [m["id"] for m in response.json()["data"]]
