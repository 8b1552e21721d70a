"""Paths and headers of the protocol with engines; docs/engine-protocol.md describes them."""

CHAT_PATH = "/v1/chat/completions"
METRICS_PATH = "/metrics"  # Prometheus text, as served by common engines
RELEASE_PATH = "/ternlane/v1/release"  # ternlane's own protocol, as are the next two
RESERVE_PATH = "/ternlane/v1/hold"
NOT_RUN_HEADER = b"x-ternlane-not-run"  # the engine states that nothing ran, and the reason
LOAD_HEADER = b"endpoint-load-metrics"  # ORCA (xDS custom load reports)

MAX_RESPONSE_BYTES = 4 * 2**20  # of an unstreamed answer; a larger one violates the protocol
