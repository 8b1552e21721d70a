"""Stories through real sockets: from a client, by the gateway's choices, to stand-in engines and back."""
from __future__ import annotations

import json

import pytest

from tests.world import world

pytestmark = pytest.mark.trio


async def test_a_chat_is_read_and_written_and_streamed() -> None:
    async with world() as w:
        reply = await w.ask(stream_options={"include_usage": True})
        assert (reply.status, reply.done, reply.broke) == (200, 1, False)
        assert len(reply.text.split()) == 6
        usage = json.loads(reply.events[-2])["usage"]
        assert usage["completion_tokens"] == 6
        assert [v["stage"] for v in w.said("leg")] == ["read", "write"]
        await w.settled()


async def test_a_plain_answer_has_the_same_text_as_a_streamed_one() -> None:
    async with world() as w:
        streamed, plain = await w.ask(), await w.ask(stream=False)
        body = json.loads(plain.body)
        assert body["object"] == "chat.completion"
        assert body["choices"][0]["message"]["content"] == streamed.text
        assert body["usage"]["completion_tokens"] == 6
