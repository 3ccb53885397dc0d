"""What tests and operators of the stand-in may do to a back end over HTTP."""

from collections.abc import Callable
from enum import Enum

from pydantic import Field

from ..adapters.http_messages import HttpRequest, HttpResponse
from ..model.identifiers import ShardId, SnapshotVersion
from ..model.key_range import KeyRange
from ..ports.backend import LoadReport
from ..simulation.models.backend_messages import BackendReply
from ..simulation.models.backend_model import BackendModel
from .admin_commands import AdminCommand, command_name, read_command
from .backend_wire import json_response
from .model_driver import ModelDriver


class Misbehaviour(Enum):
    """Ways to answer wrongly."""

    CROSSED = "crossed"
    """The answer carries another attempt's id."""
    CUT = "cut"
    """The connection is closed in the middle of the body."""
    TRUNCATED = "truncated"
    """The response is whole as HTTP, but its JSON ends in the middle."""
    CLOSED = "closed"
    """The connection is closed after the request, without an answer."""
    SILENT = "silent"
    """No answer ever comes, and the connection stays open."""
    OTHER_SNAPSHOT = "other_snapshot"
    """The answer states a version that was not asked for."""
    OUTSIDE_ROWS = "outside_rows"
    """The answer has a row whose key is not in what it covers."""


class Drain(AdminCommand):
    """Refuse new work."""


class ChangeVersions(AdminCommand):
    """Install a version, drop versions up to one, or both in this order."""

    install: int | None = None
    drop: int | None = None


class Straggle(AdminCommand):
    """Be slower by a factor for a while."""

    factor: float = Field(gt=0)
    seconds: float = Field(ge=0)


class Pause(AdminCommand):
    """Make no progress for a while."""

    seconds: float = Field(ge=0)


class Misbehave(AdminCommand):
    """Answer the next ``count`` searches wrongly."""

    mode: Misbehaviour
    count: int = Field(default=1, ge=0)


class Restart(AdminCommand):
    """Lose what is in flight and start again with these versions."""

    oldest: int
    newest: int


class ServeShard(AdminCommand):
    """Serve a key range for a shard, or (``remove``) none any more."""

    shard: str
    start: str = ""
    end: str | None = None
    remove: bool = False


class Lie(AdminCommand):
    """Report this load and state whatever the truth is; without ``utilization``: end the lie."""

    utilization: float | None = None
    draining: bool = False


class BackendAdmin:
    """Carries out the admin commands on a model.

    Parameters
    ----------
    driver
        Drives the model.
    restarted
        Called after a restart, which lost every exchange in flight.
    """

    def __init__(
        self,
        model: BackendModel,
        driver: ModelDriver[BackendReply],
        restarted: Callable[[], None],
    ) -> None:
        self._model = model
        self._driver = driver
        self._restarted = restarted
        self._misbehaviours: list[Misbehaviour] = []

    def next_misbehaviour(self) -> Misbehaviour | None:
        """Return how to answer the next search wrongly, or ``None``."""
        return self._misbehaviours.pop(0) if self._misbehaviours else None

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Carry out one command, or return the ledger."""
        if command_name(request) == "ledger":
            return self._ledger()
        command = read_command(request, _COMMANDS)
        if isinstance(command, HttpResponse):
            return command
        self.perform(command)
        return json_response(200, {})

    def perform(self, command: AdminCommand) -> None:
        """Carry out one command."""
        now = self._driver.now
        match command:
            case Drain():
                self._model.drain(now)
            case ChangeVersions():
                self._change_versions(command, now)
            case Straggle():
                self._model.slow_down(command.factor, now + command.seconds, now)
            case Pause():
                self._model.pause(now + command.seconds, now)
            case Misbehave():
                self._misbehaviours = [command.mode] * command.count
            case Restart():
                oldest, newest = SnapshotVersion(command.oldest), SnapshotVersion(command.newest)
                self._model.restart(oldest, newest, now)
                self._restarted()
            case ServeShard():
                key_range = None if command.remove else KeyRange(command.start, command.end)
                self._model.serve_shard(ShardId(command.shard), key_range, now)
            case Lie():
                report = LoadReport(command.utilization, command.draining)
                is_lie = command.utilization is not None
                self._model.lie_about_load(report if is_lie else None)
        self._driver.run()

    def _change_versions(self, command: ChangeVersions, now: float) -> None:
        if command.install is not None:
            self._model.install_version(SnapshotVersion(command.install), now)
        if command.drop is not None:
            self._model.drop_version(SnapshotVersion(command.drop), now)

    def _ledger(self) -> HttpResponse:
        ledger = self._model.ledger
        writes = [{"attempt": write.attempt_id, "body": write.body} for write in ledger.writes]
        document = {
            "executions": ledger.execution_count,
            "executions_by_attempt": dict(ledger.executions_by_attempt),
            "executions_by_body": dict(ledger.executions_by_body),
            "writes": writes,
        }
        return json_response(200, document)


_COMMANDS: dict[str, type[AdminCommand]] = {
    "drain": Drain,
    "version": ChangeVersions,
    "straggle": Straggle,
    "pause": Pause,
    "misbehave": Misbehave,
    "restart": Restart,
    "shard": ServeShard,
    "lie": Lie,
}
