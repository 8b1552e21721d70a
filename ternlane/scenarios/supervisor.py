"""Starts, restarts and ends the processes of a run."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import trio

from ternlane.scenarios.errors import RunError
from ternlane.scenarios.layout import HostPort
from ternlane.testing.traffic import TrafficLog

LISTEN_BACKLOG = 4096
READY_TIMEOUT_S = 24.0
READY_POLL_S = 0.05
HAND_OVER_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 5.0  # for a gateway to end before its next process is started
EXIT_POLL_S = 0.02
TERMINATE_TIMEOUT_S = 8.0  # at the end of the run, from SIGTERM to SIGKILL
KILL_TIMEOUT_S = 5.0
LOG_TAIL_CHARACTERS = 800  # shown when a process fails
# By systemd's socket activation protocol, the first inherited socket is file descriptor 3.
INHERITED_SOCKET_FD = 3


class Supervisor:
    """Holds all processes by name. `stop_all` ends those that the supervisor has started, by their process ids."""

    def __init__(self, folder: Path, traffic: TrafficLog, chooser: str) -> None:
        """`chooser`: `module:name` of a baseline policy for the gateways; empty: their own."""
        self.folder = folder
        self.traffic = traffic
        self.chooser = chooser
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._replaced_gateways: list[subprocess.Popen[bytes]] = []  # were sent SIGTERM after a handover
        self._listeners: dict[str, socket.socket] = {}  # of gateways that hand over their socket

    def keep_listeners(self, gateways: dict[str, HostPort]) -> None:
        """Opens the gateways' listening sockets in this process, so that they stay open when a gateway ends."""
        for name, address in gateways.items():
            self._listeners[name] = socket.create_server(address, backlog=LISTEN_BACKLOG)

    def start(self, name: str, *args: str) -> None:
        """Starts `ternlane` with these arguments; its output goes to a log file."""
        self._spawn(name, [sys.executable, "-m", "ternlane", *args], {}, ())

    def start_gateway(self, name: str) -> None:
        """Starts a gateway, which inherits its listening socket if `keep_listeners` has opened one."""
        chooser = ("--chooser", self.chooser) if self.chooser else ()
        command = [sys.executable, "-m", "ternlane", "serve", str(self.folder / f"{name}.json5"), *chooser]
        listener = self._listeners.get(name)
        if listener is None:
            self._spawn(name, command, {}, ())
        else:
            fd = listener.fileno()
            inherit = f"import os, sys; os.dup2({fd}, {INHERITED_SOCKET_FD}); os.execv(sys.argv[1], sys.argv[1:])"
            environment = {"LISTEN_FDS": "1", "NOTIFY_SOCKET": str(self._notify_path)}
            self._spawn(name, [sys.executable, "-c", inherit, *command], environment, (fd,))
        self.traffic.line("gateway", gw=name, what="start")

    def _spawn(self, name: str, command: list[str], environment: dict[str, str], fds: tuple[int, ...]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **environment},
                pass_fds=fds,
            )

    @property
    def _notify_path(self) -> Path:
        return self.folder / "notify"

    async def start_gateway_after_exit(self, name: str) -> None:
        """Waits for the old process to end, for at most EXIT_TIMEOUT_S, and starts the next one, even if the old one is
        still running."""
        with trio.move_on_after(EXIT_TIMEOUT_S):
            while self.is_running(name):
                await trio.sleep(EXIT_POLL_S)
        self.start_gateway(name)

    async def hand_over_gateway(self, name: str) -> None:
        """Starts the next process on the same socket, waits for its READY=1, and sends SIGTERM to the old one.
        Raises trio.TooSlowError after HAND_OVER_TIMEOUT_S."""
        old = self.processes[name]
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as notifications:
            self._notify_path.unlink(missing_ok=True)
            await notifications.bind(str(self._notify_path))
            self.start_gateway(name)
            with trio.fail_after(HAND_OVER_TIMEOUT_S):
                while b"READY=1" not in await notifications.recv(4096):
                    pass
        self._replaced_gateways.append(old)
        old.send_signal(signal.SIGTERM)
        self.traffic.line("gateway", gw=name, what="relieved")

    def kill_gateway(self, name: str) -> None:
        """Sends SIGKILL: the gateway loses its state."""
        self.traffic.line("gateway", gw=name, what="kill")
        self.processes[name].send_signal(signal.SIGKILL)

    def stop_gateway(self, name: str) -> None:
        """Sends SIGTERM: the gateway shuts down gracefully."""
        self.traffic.line("gateway", gw=name, what="stop")
        self.processes[name].send_signal(signal.SIGTERM)

    def is_running(self, name: str) -> bool:
        """Whether the process has not ended yet."""
        return self.processes[name].poll() is None

    def has_failed(self, name: str) -> bool:
        """Whether the process has ended with an error."""
        return self.processes[name].poll() not in (None, 0)

    def log_tail(self, name: str) -> str:
        """The end of the process's output."""
        return (self.folder / f"{name}.log").read_text()[-LOG_TAIL_CHARACTERS:]

    async def wait_until_ready(self, names: list[str]) -> None:
        """Waits until each process has created its `.ready` file. Raises RunError if one ends before
        or they take too long."""
        with trio.move_on_after(READY_TIMEOUT_S):
            while not all((self.folder / f"{name}.ready").exists() for name in names):
                for name in names:
                    if not self.is_running(name):
                        raise RunError(f"{name} did not start: {self.log_tail(name)}")
                await trio.sleep(READY_POLL_S)
            return
        raise RunError("not all processes were ready in time")

    def stop_all(self) -> None:
        """Ends all processes of this run, and closes the listening sockets."""
        processes = [*self.processes.values(), *self._replaced_gateways]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for listener in self._listeners.values():
            listener.close()
        for process in processes:
            try:
                process.wait(TERMINATE_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(KILL_TIMEOUT_S)
