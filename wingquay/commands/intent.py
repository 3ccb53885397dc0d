"""``wingquay intent``: state an intent and get a plan of what would change."""

import json
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from ..adapters.operator_json import validation_lines
from ..ports.operator import ProposePlan
from .exit_codes import USAGE
from .operator_session import OperatorSession, complain
from .operator_text import plan_text


class command:  # noqa: N801 - looked up by this name
    """State an intent and get a plan of what would change; nothing changes before its confirm."""

    async def assign_class(
        self,
        service: str,
        kind: str,
        class_name: str,
        deployment: str,
        caller: str | None = None,
        *,
        session: OperatorSession,
    ) -> int:
        """Serve a request kind in a class.

        Parameters
        ----------
        service, kind
            Whose requests, such as coverage-lookup and outage-ping.
        class_name
            A class, or top or lowest.
        deployment
            Where, such as ro-nord.
        caller
            Only this caller's requests.
        """
        fields = {"service": service, "kind": kind, "class_name": class_name}
        where = {"deployment": deployment, "caller": caller}
        intent = {"intent": "assign_class", **fields, **where}
        return await _propose([intent], session)

    async def unassign_class(
        self, service: str, kind: str, caller: str | None = None, *, session: OperatorSession
    ) -> int:
        """Take back an assignment, so that the kind's own class counts again."""
        fields = {"service": service, "kind": kind, "caller": caller}
        return await _propose([{"intent": "unassign_class", **fields}], session)

    async def set_class(
        self, name: str, price: float, promise_seconds: float, *, session: OperatorSession
    ) -> int:
        """Create a priority class, or change its price and promise."""
        fields = {"name": name, "price": price, "promise_seconds": promise_seconds}
        return await _propose([{"intent": "set_class", **fields}], session)

    async def remove(self, what: str, name: str, *, session: OperatorSession) -> int:
        """Remove a class, a service or a caller (``what``) that is called ``name``."""
        intent = {"intent": f"remove_{what}", "name": name}
        return await _propose([intent], session)

    async def set_caller(
        self, name: str, token_sha256: str, services: str, *, session: OperatorSession
    ) -> int:
        """Create a caller or replace it; ``services`` are names with commas in between."""
        caller = {"name": name, "token_sha256": token_sha256, "services": _names(services)}
        return await _propose([{"intent": "set_caller", "caller": caller}], session)

    async def set_deployment(self, name: str, zones: str, *, session: OperatorSession) -> int:
        """Create a deployment or replace it; ``zones`` are names with commas in between."""
        deployment = {"name": name, "zones": _names(zones)}
        intent = {"intent": "set_deployment", "deployment": deployment}
        return await _propose([intent], session)

    async def restore(self, revision: int, *, session: OperatorSession) -> int:
        """Make everything as it was at an earlier revision."""
        intent = {"intent": "restore_revision", "revision": revision}
        return await _propose([intent], session)

    async def file(self, path: str, *, session: OperatorSession) -> int:
        """State every intent of a JSON file (a list, or {"intents": [...]}) in one plan."""
        try:
            document = json.loads(Path(path).read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            return complain(f"{path}: cannot be read: {error}", USAGE)
        intents = document.get("intents") if isinstance(document, dict) else document
        return await _propose(intents, session)


def _names(text: str) -> list[str]:
    return [name.strip() for name in text.split(",") if name.strip()]


async def _propose(intents: Any, session: OperatorSession) -> int:
    try:
        wanted = ProposePlan.model_validate({"intents": intents})
    except ValidationError as error:
        return complain("; ".join(validation_lines(error)), USAGE)
    return await session.run(wanted, plan_text)
