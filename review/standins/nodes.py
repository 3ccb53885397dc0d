"""Starts nodes as the deploy file says, on loopback addresses."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
_SECTION = re.compile(r"{{#([\w.]+)}}(.*?){{/\1}}")
_GAP = re.compile(r"{{([\w.@,]+)(\|json)?}}")

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 12000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 56,
    "recoveryS": 12,
}
"""The bounds of the small deployments (rlc-portal, khetna-wq)."""


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def _look_up(fields: dict, name: str) -> object:
    found: object = fields
    for part in name.split("."):
        if isinstance(found, dict):
            found = found.get(part)
        elif isinstance(found, list):
            found = found[int(part)]
        else:
            return None
    return found


def _plain(found: object) -> str:
    if found is None:
        return ""
    if isinstance(found, bool):
        return "true" if found else "false"
    if isinstance(found, list):
        return ",".join(str(item) for item in found)
    return str(found)


def fill_template(text: str, fields: dict) -> str:
    """Fill in the gaps of a settings template, as DEPLOY.md says of them."""

    def section(match: re.Match[str]) -> str:
        found = _look_up(fields, match[1])
        if isinstance(found, dict):
            names = list(found)
            parts = [match[2].replace("{{@}}", name) for name in names]
            last = len(parts) - 1
            return "".join(
                part.replace("{{,}}", "" if index == last else ",")
                for index, part in enumerate(parts)
            )
        return match[2] if found else ""

    def gap(match: re.Match[str]) -> str:
        found = _look_up(fields, match[1])
        return json.dumps(found) if match[2] else _plain(found)

    return _GAP.sub(gap, _SECTION.sub(section, text))


class Node:
    """One node process.

    Parameters
    ----------
    name, zone, zones
        Its place.
    host
        Its loopback address.
    store
        Address and port of the store.
    directory
        Where its settings and its log lie.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        zones: list[str],
        host: str,
        store: str,
        directory: Path,
        bounds: dict[str, object] | None = None,
    ) -> None:
        self.name = name
        self.host = host
        self.port = free_port(host)
        self.ready_port = free_port(host)
        self.first_internal_port = free_port(host)
        self.link_port = free_port(host)
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.toml"
        self._fields = {
            "nodeName": name,
            "zone": zone,
            "zones": dict.fromkeys(zones, "ro-nord"),
            "ip": host,
            "listenAddrs": {
                "front": f"{host}:{self.port}",
                "ready": f"{host}:{self.ready_port}",
            },
            "internalPortRange": [self.first_internal_port, self.link_port],
            "seeds": [],
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "bounds": BOUNDS if bounds is None else bounds,
            "platform": {"address": store},
        }
        self.process: subprocess.Popen[bytes] | None = None

    def use_store(self, address: str) -> None:
        """Give another address of the store, from the next start on."""
        self._fields["platform"] = {"address": address}

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(fill_template(template, self._fields))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables = {"WINGQUAY_BOOT": str(self._settings), "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=kept | variables, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds: float = 15.0) -> bool:
        """Wait until the node says that it is ready."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self) -> None:
        """End the process if it still runs."""
        if self.is_running:
            assert self.process is not None
            self.process.kill()
            self.process.wait()


def temporary_directory() -> tempfile.TemporaryDirectory[str]:
    """Return a folder that goes with the script."""
    return tempfile.TemporaryDirectory(prefix="wingquay-review-")
