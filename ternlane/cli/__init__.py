"""The command line, with one module per command group. Exit codes follow sysexits (`common.ExitCode`)."""

from __future__ import annotations

import click

from ternlane import __version__
from ternlane.cli.bill import bill
from ternlane.cli.config import config
from ternlane.cli.day import day
from ternlane.cli.lab import lab
from ternlane.cli.load import load
from ternlane.cli.rules import rules
from ternlane.cli.serve import serve
from ternlane.cli.tenant import tenant

__all__ = ["main"]


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A router for language-model servers with separate prefill and decode."""


for command in (serve, config, day, rules, tenant, bill, lab, load):
    main.add_command(command)
