"""Paths and headers of the protocol spoken with engines; docs/engine-protocol.md says which are public."""

CHAT_PATH = "/v1/chat/completions"
METRICS_PATH = "/metrics"  # public: Prometheus text, as engines of the field serve it
RELEASE_PATH = "/ternlane/v1/release"  # ours
RESERVE_PATH = "/ternlane/v1/hold"  # ours
NOT_RUN_HEADER = b"x-ternlane-not-run"  # ours: the engine vouches that nothing ran, and says why
LOAD_HEADER = b"endpoint-load-metrics"  # ORCA (xDS custom load reports), as gateways of the field read it

MAX_RESPONSE_BYTES = 4 * 2**20  # of an engine's plain answer: more is no answer of this protocol
