"""What an engine reports of its load, in the forms of the field."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Sequences that run and wait, and the share of memory that is used."""

    running: int = 0
    waiting: int = 0
    memory: float = 0.0

    def header(self) -> str:
        """As the value of an `endpoint-load-metrics` header (ORCA, JSON form)."""
        return (
            'JSON {"named_metrics": {"kv_cache_usage_perc": %.4f, "num_requests_running": %d, '
            '"num_requests_waiting": %d}}' % (self.memory, self.running, self.waiting)
        )

    def metrics(self) -> str:
        """As a `/metrics` page (Prometheus text)."""
        return (
            f"vllm:num_requests_running {self.running}\nvllm:num_requests_waiting {self.waiting}\n"
            f"vllm:kv_cache_usage_perc {self.memory:.4f}\n"
        )
