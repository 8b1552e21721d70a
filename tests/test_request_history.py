"""Reports to operators: a request's transitions, why it failed, and for how long its state is held."""

from __future__ import annotations

from ternlane.platform.held_states import HeldStateMonitor, Overdue
from tests.platform_gateway import fault_always, platform


def test_overdue_state_is_reported_once() -> None:
    monitor = HeldStateMonitor()
    monitor.add("a", "p0", 0.0)
    monitor.add("b", "p1", 300.0)
    assert monitor.newly_overdue(500.0, 500.0) == []
    assert monitor.newly_overdue(501.0, 500.0) == [Overdue("a", "p0", 501.0)]
    assert monitor.newly_overdue(700.0, 500.0) == [] and monitor.oldest_ms(700.0) == 700.0
    monitor.remove("a", 800.0)
    assert monitor.newly_overdue(801.0, 500.0) == [Overdue("b", "p1", 501.0)]
    assert len(monitor) == 1 and monitor.longest_ms == 800.0


async def test_history_of_failed_request_has_its_attempts_and_release() -> None:
    async with platform("r0", "w0", w0=fault_always("status_500")) as p:
        assert (await p.ask(Request_Class="note")).status == 502
        await p.wait_until_idle()
        runtime = p.gateway.runtime
        record = runtime.reporter.records[-1]
        events = [transition.event for transition in record.history.transitions]
        assert events[0].startswith("received") and events[1].startswith("attempt 1 to r0")
        assert any(e.startswith("attempt 2 ended: decode ERROR, written") for e in events)
        assert "failed: MAY_HAVE_RUN" in events and "release begins: REQUEST_OVER" in events
        assert any(e.startswith("release confirmed by") for e in events)
        assert runtime.reporter.counts["failed MAY_HAVE_RUN"] == runtime.reporter.counts["release confirmed"] == 1
        assert not len(runtime.reporter.held_states) and not runtime.reporter.counts["held overdue"]


async def test_retries_are_counted_by_previous_outcome() -> None:
    async with platform("r0", "r1", "w0", r0=fault_always("full_503"), r1=fault_always("full_503")) as p:
        assert (await p.ask()).status == 503
        counts = p.gateway.runtime.reporter.counts
        assert counts["retry after OVERLOADED"] == 1 and counts["rejected NO_SERVER"] == 1
