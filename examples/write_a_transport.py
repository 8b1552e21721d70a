"""A custom transport that runs attempts on files in a folder instead of sockets.

A transport reports the outcome of each attempt; retries and routing follow from the outcome.
"""

import tempfile
from pathlib import Path

import trio

import ternlane
from ternlane.config.gateway import InlineSource
from ternlane.engine import AttemptResult


class FolderTransport:
    """Prefill stores the prompt in a file; decode reverses its words. One decode server is unreachable."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.servers_called = folder, list[str]()

    async def read(self, ask: ternlane.AttemptRequest) -> AttemptResult:
        self.servers_called.append(ask.server)
        path = self.folder / ask.ident
        path.write_text(ask.raw["messages"][-1]["content"])
        return AttemptResult(ternlane.AttemptOutcome.PREFILLED, state={"path": str(path)})

    async def stream(self, ask: ternlane.AttemptRequest, pass_on) -> AttemptResult:
        self.servers_called.append(ask.server)
        if ask.server == "broken":
            return AttemptResult(ternlane.AttemptOutcome.CONNECT_FAILED, why="no such folder")
        for i, word in enumerate(Path(ask.state["path"]).read_text().split()):
            await pass_on(word[::-1] + " ", i == 0)
        return AttemptResult(ternlane.AttemptOutcome.STREAMED, begun=True)

    async def release(self, server, address, ident, within_ms, protocol="disaggregated") -> bool:
        (self.folder / ident).unlink(missing_ok=True)
        return True

    async def hold(self, server, address, ident, tokens, within_ms, protocol="disaggregated") -> bool:
        return False

    def sweep(self) -> None:
        pass

    def close(self) -> None:
        pass


async def main() -> None:
    nodes = [
        ternlane.NodeLine(id=name, address="folder:1", role=role, kv_capacity_tokens=1e5)
        for name, role in (("reader", "read"), ("broken", "write"), ("whole", "write"))
    ]
    config = ternlane.GatewayConfig(
        name="folder",
        listen="127.0.0.1:0",
        nodes=InlineSource(nodes=nodes),
        request_classes=[
            ternlane.RequestClassConfig(name="mirror", effect="side-effecting", slo_ms=500, deadline_ms=2000)
        ],
    )
    with tempfile.TemporaryDirectory() as name:
        transport = FolderTransport(Path(name))
        async with ternlane.open_routing(config, transport) as routing:
            for text in ("never odd", "or even"):
                request = {"model": "mirror", "messages": [{"role": "user", "content": text}]}
                async with routing.request(request) as stream:
                    print(await stream.text())
        print("attempts went to", ", ".join(transport.servers_called))


trio.run(main)
