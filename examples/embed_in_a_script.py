"""Routes requests from two threads to two engines in the same process."""

import threading
from collections.abc import AsyncIterator

import ternlane
from ternlane.config.gateway import InlineSource


class Engine:
    """Prefills and decodes with a model in this process; this one counts words."""

    async def read(self, ask: ternlane.AttemptRequest) -> ternlane.PrefillResult:
        text = ask.raw["messages"][-1]["content"]
        return ternlane.PrefillResult({"words": len(text.split())}, prompt_tokens=len(text) // 4)

    async def write(self, ask: ternlane.AttemptRequest) -> AsyncIterator[str]:
        for piece in ("there ", "are ", str(ask.state["words"]), " words"):
            yield piece

    async def release(self, ident: str) -> None:
        pass


config = ternlane.GatewayConfig(
    name="script",
    listen="127.0.0.1:0",
    request_classes=[ternlane.RequestClassConfig(name="count", effect="idempotent", slo_ms=500, deadline_ms=2000)],
    nodes=InlineSource(
        nodes=[
            ternlane.NodeLine(id="reader", address="here:1", role="read", kv_capacity_tokens=1e5),
            ternlane.NodeLine(id="writer", address="here:2", role="write", kv_capacity_tokens=1e5),
        ]
    ),
)


def count(routing: ternlane.Blocking, text: str) -> None:
    print("".join(routing.request({"model": "count", "messages": [{"role": "user", "content": text}]})))


with ternlane.Blocking(config, lambda: ternlane.LocalTransport({"reader": Engine(), "writer": Engine()})) as routing:
    threads = [threading.Thread(target=count, args=(routing, "one two three " * n)) for n in (1, 2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
