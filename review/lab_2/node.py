"""Node processes, started with the command and the settings template of the deploy file."""

import asyncio
import json
import os
import random
import re
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_SECONDS = 20.0
LISTENING_PORTS = (15_000, 32_000)
"""Below those that the kernel gives to outgoing connections."""
BOUNDS: dict[str, object] = {
    "contactMs": 4000,
    "drainMs": 3000,
    "graceS": 6,
    "configApplyMs": 3000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 56,
}
"""The bounds of the small deployments (rlc-portal, khetna-wq)."""

_SECTION = re.compile(r"{{#([\w.]+)}}(.*?){{/\1}}", re.DOTALL)
_GAP = re.compile(r"{{([\w.]+)(\|json)?}}")


def free_port() -> int:
    """Return a port that is free now and that no outgoing connection takes while a node is down."""
    while True:
        port = random.randrange(*LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


def fill(text: str, fields: dict[str, Any]) -> str:
    """Return the settings template with its gaps filled in, as DEPLOY says."""
    text = _SECTION.sub(lambda match: _section(match, fields), text)
    return _GAP.sub(lambda match: _gap(match, fields), text)


def _section(match: re.Match[str], fields: dict[str, Any]) -> str:
    found = _find(fields, match[1])
    if isinstance(found, dict):
        parts = [match[2].replace("{{@}}", name) for name in found]
        joined = [part.replace("{{,}}", ",") for part in parts[:-1]]
        return "".join([*joined, parts[-1].replace("{{,}}", "")])
    return match[2] if found else ""


def _gap(match: re.Match[str], fields: dict[str, Any]) -> str:
    found = _find(fields, match[1])
    if match[2]:
        return json.dumps(found)
    if found is None:
        return ""
    return ",".join(map(str, found)) if isinstance(found, list) else str(found)


def _find(fields: dict[str, Any], path: str) -> Any:
    found: Any = fields
    for part in path.split("."):
        if isinstance(found, dict):
            found = found.get(part)
        elif isinstance(found, list) and part.isdigit():
            found = found[int(part)]
        else:
            return None
    return found


class Node:
    """One front machine.

    Parameters
    ----------
    name, zone, zones
        Its name and place, and all zones.
    store_port
        Where the store listens.
    directory
        A temporary folder for its settings and its log.
    bounds
        Bounds besides the usual ones.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        zones: list[str],
        store_port: int,
        directory: Path,
        bounds: dict[str, object] | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.port = free_port()
        self.ready_port = free_port()
        self.log_path = directory / f"{name}.log"
        self._settings_path = directory / f"{name}.toml"
        self._fields: dict[str, Any] = {
            "nodeName": name,
            "zone": zone,
            "zones": dict.fromkeys(zones, "region-1"),
            "ip": HOST,
            "listenAddrs": {
                "front": f"{HOST}:{self.port}",
                "ready": f"{HOST}:{self.ready_port}",
            },
            "internalPortRange": [free_port(), free_port()],
            "seeds": [],
            "limits": {"cpuShare": 0.537, "cores": 2},
            "platform": {"address": f"{HOST}:{store_port}"},
            "bounds": BOUNDS | (bounds or {}),
        }
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process, and wait until it says that it is ready."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))["roles"]["node"]
        template = (ROOT / role["template"]).read_text("utf-8")
        self._settings_path.write_text(fill(template, self._fields), "utf-8")
        passed = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        passed["WINGQUAY_BOOT"] = str(self._settings_path)
        passed["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as log:
            # Not asyncio's call, which could be cancelled while the process is being made.
            self._process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=passed, stdout=log, stderr=log
            )
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait for the readiness that the platform asks for."""
        async with asyncio.timeout(READY_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def kill(self) -> None:
        """End the process, if it runs, and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
