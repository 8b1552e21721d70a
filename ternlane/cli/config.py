"""`ternlane config`: checks configuration documents of gateways."""

from __future__ import annotations

import click

from ternlane.cli.common import load_document
from ternlane.config import GatewayConfig


@click.group()
def config() -> None:
    """Configuration documents of gateways."""


@config.command("check")
@click.argument("files", nargs=-1, required=True)
def config_check(files: tuple[str, ...]) -> None:
    """Checks documents and prints the line and the field of an error."""
    for file in files:
        load_document(file, GatewayConfig)
        click.echo(f"{file}: valid")
