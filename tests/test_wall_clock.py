"""Wall clocks that are stepped: a model server that has just started is not taken for a warm one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ternlane.platform.wall_clock import MIN_STEP_MS, WallClock

HOUR_MS = 3600e3
EPOCH_MS = 1.7e12


def stepped(*steps_ms: float) -> tuple[WallClock, float, float]:
    """A clock that was observed for a minute around each step; the wall's and the monotonic time of now."""
    clock, now, offset = WallClock(), 1000.0, EPOCH_MS
    clock.observe(now + offset, now)
    for step in steps_ms:
        now += 60e3
        offset += step
        clock.observe(now + offset, now)
    return clock, now + offset, now


def test_without_a_step_a_date_is_what_it_says() -> None:
    clock, wall, now = stepped()
    assert clock.to_monotonic_ms(wall - 2500.0, now) == now - 2500.0 and clock.steps == 0


@given(step=st.sampled_from([3e3, -3e3, HOUR_MS, -HOUR_MS]), age=st.floats(0.0, 60e3))
def test_a_server_that_has_just_started_is_never_older_than_it_is(step: float, age: float) -> None:
    """Whether only our clock was stepped or all machines' were."""
    clock, wall, now = stepped(step)
    for dated in (wall - age, wall - step - age):
        began = clock.to_monotonic_ms(dated, now)
        assert now - age - MIN_STEP_MS <= began <= now


def test_a_date_in_the_future_is_now() -> None:
    clock, wall, now = stepped()
    assert clock.to_monotonic_ms(wall + HOUR_MS, now) == now


def test_drift_is_followed_and_no_step() -> None:
    clock, offset = WallClock(), EPOCH_MS
    for second in range(7200):
        offset += 0.5  # 500 parts in a million
        clock.observe(second * 1000.0 + offset, second * 1000.0)
    assert clock.steps == 0
    now = 7200e3
    assert abs(clock.to_monotonic_ms(now + offset - 100.0, now) - (now - 100.0)) < 1.0


def test_steps_without_end_are_not_remembered_for_ever() -> None:
    clock, wall, now = stepped(*[HOUR_MS] * 100)
    assert clock.steps == 100 and clock.to_monotonic_ms(wall - 10.0, now) == now - 10.0
