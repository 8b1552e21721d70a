"""`ternlane tenant`: edits tenants, keys and budgets in the tenants file, which gateways reload on changes."""

from __future__ import annotations

import fcntl
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from ternlane.cli.common import ExitCode, fail, load_document
from ternlane.tenants import ApiKey, Budget, Tenant, new_key
from ternlane.tenants.api_keys import split_key
from ternlane.tenants.tenant_registry import TenantRegistryConfig, replace_tenant

FILE_MODE = 0o600  # the file holds hashes of keys
FILE_OPTION = click.option("--file", "file", default="tenants.json5", show_default=True, help="tenants file")


@click.group()
def tenant() -> None:
    """Tenants with their keys and budgets, in the file that gateways reload on changes."""


@tenant.command("add")
@click.argument("name")
@click.option("--zone", default="UTC", help="time zone of the billing periods")
@click.option("--period", type=click.Choice(["day", "month"]), default="month")
@FILE_OPTION
def tenant_add(name: str, zone: str, period: str, file: str) -> None:
    """Adds tenant NAME, without keys."""

    def add(config: TenantRegistryConfig) -> TenantRegistryConfig:
        if any(other.name == name for other in config.tenants):
            raise KeyError(f"tenant {name!r} already exists")
        added = msgspec.convert({"name": name, "zone": zone, "period": period}, Tenant)
        return msgspec.structs.replace(config, tenants=[*config.tenants, added])

    change_file(file, add)


@tenant.group("key")
def tenant_key() -> None:
    """API keys."""


@tenant_key.command("new")
@click.argument("name")
@FILE_OPTION
def key_new(name: str, file: str) -> None:
    """Creates a key for tenant NAME and prints it. Its secret is not stored and cannot be shown again."""
    created = new_key()

    def add_key(config: TenantRegistryConfig) -> TenantRegistryConfig:
        owner = find_tenant(config, name)
        stored = ApiKey(name=created.name, salt=created.salt, hash=created.secret_hash)
        return replace_tenant(config, msgspec.structs.replace(owner, keys=[*owner.keys, stored]))

    change_file(file, add_key)
    click.echo(created.key)


@tenant_key.command("revoke")
@click.argument("key")
@click.option(
    "--in", "after_s", type=click.FloatRange(min=0), default=0.0, help="seconds until the key ends; 0: immediately"
)
@FILE_OPTION
def key_revoke(key: str, after_s: float, file: str) -> None:
    """Revokes KEY, given in full or by its public part. Running streams continue."""
    name = split_key(key)[0] or key
    state = "retiring" if after_s else "revoked"

    def end_key(config: TenantRegistryConfig) -> TenantRegistryConfig:
        owner = next((t for t in config.tenants if any(k.name == name for k in t.keys)), None)
        if owner is None:
            raise KeyError(f"unknown key {name!r}")
        until = time.time() + after_s
        keys = [msgspec.structs.replace(k, state=state, until=until) if k.name == name else k for k in owner.keys]
        return replace_tenant(config, msgspec.structs.replace(owner, keys=keys))

    change_file(file, end_key)


@tenant.group("budget")
def tenant_budget() -> None:
    """Budgets of tenants."""


@tenant_budget.command("set")
@click.argument("name")
@click.option(
    "--product", "request_class", default="", help="budget for this product only, in addition to the budget for all"
)
@click.option("--minute", type=int, help="tokens per minute")
@click.option("--burst", type=int)
@click.option("--per-period", "period", type=int, help="tokens per billing period")
@click.option("--at-once", type=int)
@click.option("--overdraft", type=int)
@click.option("--cut/--no-cut", default=None, help="end streams that exceed the overdraft")
@click.option("--clear", is_flag=True, help="reset all limits that are not given")
@FILE_OPTION
def budget_set(name: str, request_class: str, clear: bool, file: str, **limits: Any) -> None:
    """Changes the given limits. Gateways apply them within a second; open requests keep their reservations."""
    given = {limit: value for limit, value in limits.items() if value is not None}

    def set_budget(config: TenantRegistryConfig) -> TenantRegistryConfig:
        owner = find_tenant(config, name)
        old = owner.request_classes.get(request_class, Budget()) if request_class else owner.budget
        before = msgspec.to_builtins(Budget() if clear else old)
        budget = msgspec.convert(before | given, Budget)
        if request_class:
            budgets = {**owner.request_classes, request_class: budget}
            return replace_tenant(config, msgspec.structs.replace(owner, request_classes=budgets))
        return replace_tenant(config, msgspec.structs.replace(owner, budget=budget))

    change_file(file, set_budget)


@tenant.command("show")
@click.argument("name", required=False)
@FILE_OPTION
def tenant_show(name: str | None, file: str) -> None:
    """Shows tenants with their budgets and the public parts of their keys."""
    for shown in load_document(file, TenantRegistryConfig).tenants:
        if name in (None, shown.name):
            print_tenant(shown)


def print_tenant(shown: Tenant) -> None:
    """Prints one line for the tenant, one for each budget of a request class and one for each key."""
    budget = shown.budget
    click.echo(
        f"{shown.name}  period {shown.period} {shown.zone}  minute {budget.minute} burst {budget.burst} "
        f"period {budget.period} at once {budget.at_once} overdraft {budget.overdraft}"
    )
    for request_class, limits in shown.request_classes.items():
        click.echo(f"  {request_class}: minute {limits.minute} period {limits.period} at once {limits.at_once}")
    for key in shown.keys:
        click.echo(f"  key {key.name} {key.state}" + (f" until {key.until:.0f}" if key.until else ""))


def find_tenant(config: TenantRegistryConfig, name: str) -> Tenant:
    """The tenant of this name. Raises KeyError with a message for the operator."""
    found = next((tenant for tenant in config.tenants if tenant.name == name), None)
    if found is None:
        raise KeyError(f"unknown tenant {name!r}")
    return found


def change_file(file: str, change: Callable[[TenantRegistryConfig], TenantRegistryConfig]) -> None:
    """Applies a change to the tenants file under a lock. The file is replaced atomically, as gateways may read it at
    any time. Exits with an error if the change raises ValueError or KeyError, or if its result is invalid."""
    path = Path(file)
    with open(path.with_name(path.name + ".lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        config = load_document(file, TenantRegistryConfig) if path.exists() else TenantRegistryConfig()
        try:
            content = msgspec.json.format(msgspec.json.encode(change(config)), indent=1)
            msgspec.json.decode(content, type=TenantRegistryConfig)
        except (ValueError, KeyError) as error:
            fail(error.args[0] if error.args else error, ExitCode.DATA)
        replace_file(path, content)


def replace_file(path: Path, content: bytes) -> None:
    """Writes and syncs the content to a temporary file, then renames it. Raises OSError."""
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as out:
        out.write(content)
        out.flush()
        os.fsync(out.fileno())
    os.chmod(temporary, FILE_MODE)
    os.replace(temporary, path)
