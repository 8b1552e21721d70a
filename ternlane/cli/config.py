"""`ternlane config`: checks of gateways' documents."""

from __future__ import annotations

import click

from ternlane.cli.common import load_document
from ternlane.config import GatewayConfig


@click.group()
def config() -> None:
    """Documents of gateways."""


@config.command("check")
@click.argument("files", nargs=-1, required=True)
def config_check(files: tuple[str, ...]) -> None:
    """Checks documents; says the line and the field of what is wrong."""
    for file in files:
        load_document(file, GatewayConfig)
        click.echo(f"{file}: good")
