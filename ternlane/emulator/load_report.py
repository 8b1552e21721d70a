"""Load reports of engines in the ORCA and Prometheus formats."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Number of running and waiting sequences, and the used share of memory."""

    running: int = 0
    waiting: int = 0
    memory: float = 0.0

    def header(self) -> str:
        """Returns the value of an `endpoint-load-metrics` header (ORCA, JSON)."""
        return (
            'JSON {"named_metrics": {"kv_cache_usage_perc": %.4f, "num_requests_running": %d, '
            '"num_requests_waiting": %d}}' % (self.memory, self.running, self.waiting)
        )

    def metrics(self) -> str:
        """Returns the body of a `/metrics` response (Prometheus text format)."""
        return (
            f"vllm:num_requests_running {self.running}\nvllm:num_requests_waiting {self.waiting}\n"
            f"vllm:kv_cache_usage_perc {self.memory:.4f}\n"
        )
