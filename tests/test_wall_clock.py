"""Steps of the wall clock: a model server that has just started must not be taken for a warm one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ternlane.platform.wall_clock import MIN_STEP_MS, WallClock

HOUR_MS = 3600e3
EPOCH_MS = 1.7e12


def stepped_clock(*steps_ms: float) -> tuple[WallClock, float, float]:
    """A clock with a step each minute, and the current wall-clock and monotonic time."""
    clock, now, offset = WallClock(), 1000.0, EPOCH_MS
    clock.observe(now + offset, now)
    for step in steps_ms:
        now += 60e3
        offset += step
        clock.observe(now + offset, now)
    return clock, now + offset, now


def test_timestamp_is_exact_without_steps() -> None:
    clock, wall, now = stepped_clock()
    assert clock.to_monotonic_ms(wall - 2500.0, now) == now - 2500.0 and clock.steps == 0


@given(step=st.sampled_from([3e3, -3e3, HOUR_MS, -HOUR_MS]), age=st.floats(0.0, 60e3))
def test_server_never_seems_older_than_it_is(step: float, age: float) -> None:
    """Whether only this machine's clock was stepped or all machines' clocks were."""
    clock, wall, now = stepped_clock(step)
    for timestamp in (wall - age, wall - step - age):
        started = clock.to_monotonic_ms(timestamp, now)
        assert now - age - MIN_STEP_MS <= started <= now


def test_timestamp_in_the_future_is_now() -> None:
    clock, wall, now = stepped_clock()
    assert clock.to_monotonic_ms(wall + HOUR_MS, now) == now


def test_drift_is_followed_and_is_no_step() -> None:
    clock, offset = WallClock(), EPOCH_MS
    for second in range(7200):
        offset += 0.5  # 500 parts in a million
        clock.observe(second * 1000.0 + offset, second * 1000.0)
    assert clock.steps == 0
    now = 7200e3
    assert abs(clock.to_monotonic_ms(now + offset - 100.0, now) - (now - 100.0)) < 1.0


def test_number_of_remembered_offsets_is_bounded() -> None:
    clock, wall, now = stepped_clock(*[HOUR_MS] * 100)
    assert clock.steps == 100 and clock.to_monotonic_ms(wall - 10.0, now) == now - 10.0
