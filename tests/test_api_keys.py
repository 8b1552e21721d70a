"""API keys: which are let in, and that wrong ones learn nothing."""

from __future__ import annotations

import pytest

from ternlane.tenants import ApiKey, Tenant, TenantRegistry, UnknownKeyError, new_key
from ternlane.tenants.tenant_registry import TenantRegistryConfig

NEW = new_key()


def registry(state: str = "live", until: float = 0.0) -> TenantRegistry:
    """One tenant, whose key is in this state."""
    key = ApiKey(name=NEW.name, salt=NEW.salt, hash=NEW.secret_hash, state=state, until=until)  # type: ignore[arg-type]
    return TenantRegistry(TenantRegistryConfig(tenants=[Tenant(name="noto", keys=[key])]))


@pytest.mark.parametrize("state, until, now_s", [("live", 0, 5), ("retiring", 10, 9)])
def test_a_key_is_let_in_until_it_ends(state: str, until: float, now_s: float) -> None:
    assert registry(state, until).authenticate(f"Bearer {NEW.key}", now_s).name == "noto"


@pytest.mark.parametrize("state, until, now_s", [("retiring", 10, 10), ("revoked", 0, 5)])
def test_a_key_that_has_ended_is_unknown(state: str, until: float, now_s: float) -> None:
    with pytest.raises(UnknownKeyError):
        registry(state, until).authenticate(f"Bearer {NEW.key}", now_s)


@pytest.mark.parametrize("state", ["live", "revoked"])
@pytest.mark.parametrize(
    "header",
    [
        None,
        "",
        NEW.key,
        f"Basic {NEW.key}",
        f"Bearer {NEW.key}x",
        f"Bearer tl-{NEW.name}-",
        "Bearer tl-ff-x",
        "Bearer é",
    ],
    ids=["none", "empty", "no scheme", "other scheme", "longer", "no secret", "unknown name", "not ASCII"],
)
def test_all_wrong_keys_sound_alike(header: str | None, state: str) -> None:
    """Who guesses must not learn whether the name, the secret or the form was wrong."""
    with pytest.raises(UnknownKeyError) as refused:
        registry(state).authenticate(header, 0)
    assert str(refused.value) == ""


def test_the_secret_of_a_key_is_not_stored() -> None:
    assert NEW.key.split("-")[2] not in repr(registry().tenants["noto"])
