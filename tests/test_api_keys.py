"""Tests authentication by API key, and that a rejection does not reveal what is wrong with a key."""

from __future__ import annotations

import pytest

from ternlane.tenants import ApiKey, InvalidKeyError, Tenant, TenantRegistry, new_key
from ternlane.tenants.tenant_registry import TenantRegistryConfig

NEW_KEY = new_key()


def registry(state: str = "live", until: float = 0.0) -> TenantRegistry:
    """A registry with one tenant, whose key has this state."""
    key = ApiKey(name=NEW_KEY.name, salt=NEW_KEY.salt, hash=NEW_KEY.secret_hash, state=state, until=until)  # type: ignore[arg-type]
    return TenantRegistry(TenantRegistryConfig(tenants=[Tenant(name="noto", keys=[key])]))


@pytest.mark.parametrize("state, until, now_s", [("live", 0, 5), ("retiring", 10, 9)])
def test_a_key_is_valid_until_it_ends(state: str, until: float, now_s: float) -> None:
    assert registry(state, until).authenticate(f"Bearer {NEW_KEY.key}", now_s).name == "noto"


@pytest.mark.parametrize("state, until, now_s", [("retiring", 10, 10), ("revoked", 0, 5)])
def test_a_key_that_has_ended_is_rejected(state: str, until: float, now_s: float) -> None:
    with pytest.raises(InvalidKeyError):
        registry(state, until).authenticate(f"Bearer {NEW_KEY.key}", now_s)


@pytest.mark.parametrize("state", ["live", "revoked"])
@pytest.mark.parametrize(
    "header",
    [
        None,
        "",
        NEW_KEY.key,
        f"Basic {NEW_KEY.key}",
        f"Bearer {NEW_KEY.key}x",
        f"Bearer tl-{NEW_KEY.name}-",
        "Bearer tl-ff-x",
        "Bearer é",
    ],
    ids=["none", "empty", "no scheme", "other scheme", "longer", "no secret", "unknown name", "not ASCII"],
)
def test_all_invalid_keys_get_the_same_error(header: str | None, state: str) -> None:
    """An attacker must not learn whether the name, the secret or the format is wrong."""
    with pytest.raises(InvalidKeyError) as error_info:
        registry(state).authenticate(header, 0)
    assert str(error_info.value) == ""


def test_the_secret_of_a_key_is_not_stored() -> None:
    assert NEW_KEY.key.split("-", 2)[2] not in repr(registry().tenants["noto"])
