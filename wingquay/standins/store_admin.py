"""What tests and operators of the stand-in may do to the store over HTTP."""

from pydantic import Field

from ..adapters.http_messages import HttpRequest, HttpResponse
from ..model.identifiers import ZoneName
from ..ports.machine_directory import MachineEntry, MachineState
from ..simulation.models.machine_list_model import MachineListModel
from ..simulation.models.store_model import StoreModel
from ..simulation.models.store_operations import StoreOutput
from .admin_commands import AdminCommand, read_command
from .backend_wire import json_response
from .model_driver import ModelDriver


class Refuse(AdminCommand):
    """Be down for a while: break connections and refuse operations."""

    seconds: float = Field(ge=0)


class Silence(AdminCommand):
    """Take requests in for a while, and neither do nor answer anything."""

    seconds: float = Field(ge=0)


class SlowDown(AdminCommand):
    """Take longer for a while."""

    extra_seconds: float = Field(ge=0)
    seconds: float = Field(ge=0)


class LoseReplies(AdminCommand):
    """Lose the replies of the next operations after they took effect."""

    count: int = Field(ge=0)


class BreakWatches(AdminCommand):
    """End every watch."""


class SkipWatchEvents(AdminCommand):
    """Leave out the next watch notices."""

    count: int = Field(ge=0)


class Compact(AdminCommand):
    """Forget the history of changes."""


class LapseLease(AdminCommand):
    """Let a lease lapse before its time."""

    lease_id: int


class PutMachine(AdminCommand):
    """List a machine, after the list's lag."""

    host: str
    port: int
    zone: str
    state: MachineState = MachineState.LIVE


class RemoveMachine(AdminCommand):
    """List a machine no more, after the list's lag."""

    host: str
    port: int


class FailMachineList(AdminCommand):
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
        command = read_command(request, _COMMANDS)
        if isinstance(command, HttpResponse):
            return command
        self.perform(command)
        return json_response(200, {})

    def perform(self, command: AdminCommand) -> None:
        """Carry out one command."""
        self._perform_on_store(command, self._driver.now)
        self._perform_on_machines(command, self._driver.now)
        self._driver.run()

    def _perform_on_store(self, command: AdminCommand, now: float) -> None:
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

    def _perform_on_machines(self, command: AdminCommand, now: float) -> None:
        match command:
            case PutMachine():
                zone = ZoneName(command.zone)
                entry = MachineEntry(command.host, command.port, zone, command.state)
                self._machines.put(entry, now)
            case RemoveMachine():
                self._machines.remove(command.host, command.port, now)
            case FailMachineList():
                self._machines.fail_until(now + command.seconds)


_COMMANDS: dict[str, type[AdminCommand]] = {
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
