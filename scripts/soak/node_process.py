"""One node as the deploy file runs it, in a process of its own."""

import asyncio
import os
import re
import signal
import socket
import sysconfig
import tomllib
from pathlib import Path
from typing import Protocol

from .settings import Bounds
from .template import fill_template

ROOT = Path(__file__).resolve().parents[2]
BUILT_LIBRARIES = ROOT / "target" / "deps"
PROBE_SECONDS = 1.0
READY_POLL_SECONDS = 0.05
MILLISECONDS = 1000.0
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
"""The only variables of the caller that the platform passes on."""


class Node(Protocol):
    """What a soak asks of a node, whether it is a process or a double in a test."""

    name: str
    zone: str
    host: str
    port: int

    @property
    def is_running(self) -> bool:
        """Whether it has been started and has not ended."""
        ...

    async def start(self) -> None:
        """Start it; it may take a while until it is ready."""
        ...

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal; nothing happens if it has ended."""
        ...

    async def is_ready(self) -> bool:
        """Ask for its readiness as the platform does."""
        ...

    async def wait_ended(self) -> None:
        """Wait until it has ended."""
        ...


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class NodeProcess:
    """Starts a node with the command and the settings template of the deploy file.

    Parameters
    ----------
    name, zone, zones
        Its place.
    host
        Its loopback address.
    store_address
        Where it reaches the store.
    directory
        Where its settings and its log lie; the log goes on over restarts.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        zones: tuple[str, ...],
        host: str,
        store_address: str,
        directory: Path,
        bounds: Bounds,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.log_path = directory / f"{name}.log"
        self._settings_path = directory / f"{name}.toml"
        self._zones = zones
        self._store_address = store_address
        self._bounds = bounds
        self.port = free_port(host)
        self._ready_port = free_port(host)
        self._internal_ports = [free_port(host), free_port(host)]
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def move(self, host: str) -> None:
        """Take another address from the next start on."""
        self.host = host

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]
        template = (ROOT / role["node"]["template"]).read_text(encoding="utf-8")
        self._settings_path.write_text(fill_template(template, self._fields()), encoding="utf-8")
        variables = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        variables["WINGQUAY_BOOT"] = str(self._settings_path)
        variables["PYTHONPATH"] = _library_path()
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["node"]["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                reader, writer = await asyncio.open_connection(self.host, self._ready_port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    def _fields(self) -> dict[str, object]:
        bounds = self._bounds
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "zones": dict.fromkeys(self._zones, "region"),
            "ip": self.host,
            "listenAddrs": {
                "front": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self._ready_port}",
            },
            "internalPortRange": self._internal_ports,
            "seeds": [],
            "limits": {"cpuShare": 0.537, "cores": 2},
            "platform": {"address": self._store_address},
            "bounds": {
                "contactMs": _milliseconds(bounds.contact_seconds),
                "drainMs": _milliseconds(bounds.drain_seconds),
                "graceS": bounds.grace_seconds,
                "configApplyMs": _milliseconds(bounds.configuration_seconds),
                "strictRevocation": bounds.revocation_seconds is not None,
                "revokeMs": _milliseconds(bounds.revocation_seconds or 0.0),
                "retryBudgetRatio": bounds.retry_ratio,
                "retryWindowS": bounds.retry_window_seconds,
                "budgetSlack": bounds.retry_slack,
                "quotaWindowS": bounds.quota_window_seconds,
                "quotaOverage": bounds.quota_overage,
                "quotaSlack": bounds.quota_slack,
            },
        }


def log_lines_with(path: Path, text: str) -> list[str]:
    """Return the lines of a node's log that hold a text as a whole value."""
    if not path.exists():
        return []
    pattern = re.compile(rf"(^|[\s=\"]){re.escape(text)}($|[\s\"])")
    with path.open(encoding="utf-8", errors="replace") as log:
        return [line.rstrip("\n") for line in log if pattern.search(line)]


def _library_path() -> str:
    """Return where the libraries are: those of the deploy file's build, or of this interpreter."""
    if BUILT_LIBRARIES.is_dir():
        return str(BUILT_LIBRARIES)
    return sysconfig.get_path("purelib")


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
