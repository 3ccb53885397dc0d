"""What tests and operators of the stand-in may do to the store over HTTP."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wingquay.adapters.http_messages import HttpRequest, HttpResponse
from wingquay.model.identifiers import ZoneName
from wingquay.ports.machine_directory import MachineEntry, MachineState
from wingquay.rehearsal.models.machine_list_model import MachineListModel
from wingquay.rehearsal.models.store_model import StoreModel
from wingquay.rehearsal.models.store_operations import StoreOutput
from wingquay.standins.backend_wire import json_response, problem_response
from wingquay.standins.model_driver import ModelDriver

ADMIN_PREFIX = "/admin/"


class _Command(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Refuse(_Command):
    """Be down for a while: break connections and refuse operations."""

    seconds: float = Field(ge=0)


class Silence(_Command):
    """Take requests in for a while, and neither do nor answer anything."""

    seconds: float = Field(ge=0)


class SlowDown(_Command):
    """Take longer for a while."""

    extra_seconds: float = Field(ge=0)
    seconds: float = Field(ge=0)


class LoseReplies(_Command):
    """Lose the replies of the next operations after they took effect."""

    count: int = Field(ge=0)


class BreakWatches(_Command):
    """End every watch."""


class SkipWatchEvents(_Command):
    """Leave out the next watch notices."""

    count: int = Field(ge=0)


class Compact(_Command):
    """Forget the history of changes."""


class LapseLease(_Command):
    """Let a lease lapse before its time."""

    lease_id: int


class PutMachine(_Command):
    """List a machine, after the list's lag."""

    host: str
    port: int
    zone: str
    state: MachineState = MachineState.LIVE


class RemoveMachine(_Command):
    """List a machine no more, after the list's lag."""

    host: str
    port: int


class FailMachineList(_Command):
    """Answer no reads of the machine list for a while."""

    seconds: float = Field(ge=0)


class StoreAdmin:
    """Carries out the admin commands on the models."""

    def __init__(
        self,
        store: StoreModel,
        machines: MachineListModel,
        driver: ModelDriver[StoreOutput],
    ) -> None:
        self._store = store
        self._machines = machines
        self._driver = driver

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Carry out one command."""
        name = request.path.removeprefix(ADMIN_PREFIX)
        command_type = _COMMANDS.get(name)
        if command_type is None:
            return problem_response(404, "unknown-command", f"no admin command {name!r}")
        try:
            command = command_type.model_validate_json(request.body or b"{}")
        except ValidationError as error:
            return problem_response(400, "invalid", str(error))
        self.perform(command)
        return json_response(200, {})

    def perform(self, command: _Command) -> None:
        """Carry out one command."""
        self._perform_on_store(command, self._driver.now)
        self._perform_on_machines(command, self._driver.now)
        self._driver.run()

    def _perform_on_store(self, command: _Command, now: float) -> None:
        match command:
            case Refuse():
                self._store.refuse_until(now + command.seconds, now)
            case Silence():
                self._store.silence_until(now + command.seconds, now)
            case SlowDown():
                self._store.slow_down(command.extra_seconds, now + command.seconds, now)
            case LoseReplies():
                self._store.faults.replies_to_lose = command.count
            case BreakWatches():
                self._store.break_watches("the store ends its watches", now)
            case SkipWatchEvents():
                self._store.skip_watch_events(command.count)
            case Compact():
                self._store.compact(now)
            case LapseLease():
                self._store.lapse_lease(command.lease_id, now)

    def _perform_on_machines(self, command: _Command, now: float) -> None:
        match command:
            case PutMachine():
                zone = ZoneName(command.zone)
                entry = MachineEntry(command.host, command.port, zone, command.state)
                self._machines.put(entry, now)
            case RemoveMachine():
                self._machines.remove(command.host, command.port, now)
            case FailMachineList():
                self._machines.fail_until(now + command.seconds)


_COMMANDS: dict[str, type[_Command]] = {
    "refuse": Refuse,
    "silence": Silence,
    "slow": SlowDown,
    "lose-replies": LoseReplies,
    "break-watches": BreakWatches,
    "skip-watch-events": SkipWatchEvents,
    "compact": Compact,
    "lapse-lease": LapseLease,
    "machine": PutMachine,
    "remove-machine": RemoveMachine,
    "fail-machine-list": FailMachineList,
}
