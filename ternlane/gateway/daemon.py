"""The process around one gateway: signals, reload, an orderly end."""

from __future__ import annotations

import os
import signal
import socket
from pathlib import Path
from typing import Any, Callable

import structlog
import trio

from ternlane import GatewayConfig, ConfigError, Router, open_gateway, read_config


def passed_in() -> list[trio.SocketListener] | None:
    """Listening sockets handed over by whoever started this process (the LISTEN_FDS protocol), or None."""
    if os.environ.get("LISTEN_PID") not in (None, str(os.getpid())) or not os.environ.get("LISTEN_FDS"):
        return None
    count = int(os.environ.pop("LISTEN_FDS"))
    os.environ.pop("LISTEN_PID", None)
    out = []
    for fd in range(3, 3 + count):
        os.set_inheritable(fd, False)
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        out.append(trio.SocketListener(trio.socket.from_stdlib_socket(sock)))
    return out


def notify(state: str) -> None:
    """Tells a service manager how it stands (the sd_notify protocol: one datagram to NOTIFY_SOCKET)."""
    path = os.environ.get("NOTIFY_SOCKET")
    if path:
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
            try:
                sock.sendto(state.encode(), "\0" + path[1:] if path.startswith("@") else path)
            except OSError:
                pass  # who does not listen need not hear


def write_pid(path: Path) -> None:
    """Whole or not at all: whoever reads it meanwhile sees the old number or the new one."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}")
    fresh.write_text(f"{os.getpid()}\n")
    fresh.replace(path)


def drop_pid(path: Path) -> None:
    """Removes the file unless a process that took over has put its own number there."""
    try:
        if path.read_text().strip() == str(os.getpid()):
            path.unlink()
    except OSError:
        pass


async def run_gateway(
    path: str, config: GatewayConfig, chooser: Callable[..., Any] | None = None, pid_file: str | None = None
) -> None:
    """Serves until SIGTERM or SIGINT, then drains; a second one ends it at once. SIGHUP reads the document again and
    takes over what can change without a restart."""
    log = structlog.get_logger(gateway=config.name)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with open_gateway(config, chooser or Router, log, listeners=passed_in()) as gateway:
            if pid_file is not None:
                write_pid(Path(pid_file))
            notify(f"READY=1\nSTATUS=serving at {gateway.address}\nMAINPID={os.getpid()}")
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                notify("RELOADING=1")
                try:
                    changed, kept = gateway.reload(read_config(path, GatewayConfig))
                    log.info("reloaded", changed=changed, needs_restart=kept)
                except ConfigError as why:
                    log.error("reload refused", why=str(why))
                notify("READY=1")
            notify("STOPPING=1")
            log.info("draining", open=len(gateway.host.active_requests))
            async with trio.open_nursery() as nursery:

                async def at_once() -> None:
                    async for number in signals:
                        if number != signal.SIGHUP:
                            nursery.cancel_scope.cancel()
                            return

                nursery.start_soon(at_once)
                await gateway.drain()
                nursery.cancel_scope.cancel()
            if pid_file is not None:
                drop_pid(Path(pid_file))
            log.info("ended")
