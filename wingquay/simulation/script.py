"""Scripts: what happens to a small deployment, step by step, as data that can be saved.

The fuzzer writes them, ``wingquay replay`` runs them again.
"""

from enum import Enum
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..model.failure import Failure
from .simulation_failure import SimulationFailureKind

LARGEST_NUMBER = 100_000
MOST_STEPS = 100_000


class StepName(Enum):
    """What happens; the comments name the meaning of ``first`` and ``second``.

    Things that are counted (nodes, replicas, zones, kinds, services) are taken modulo how many
    there are.
    """

    WAIT = "wait"  # milliseconds
    ASK = "ask"  # kind, node
    ASK_AGAIN = "ask_again"  # node, milliseconds: repeat the last request
    LEAVE = "leave"  # the last caller closes its connection
    CRASH_NODE = "crash_node"  # node
    START_NODES = "start_nodes"  # wherever none runs
    PAUSE_NODE = "pause_node"  # node, milliseconds
    STOP_NODE = "stop_node"  # node
    LOSE_REPLICA = "lose_replica"  # replica, odd: silent
    RESTART_REPLICA = "restart_replica"  # replica, odd: on an older index
    DRAIN_REPLICA = "drain_replica"  # replica
    SLOW_REPLICA = "slow_replica"  # replica, factor
    NEW_VERSION = "new_version"  # service
    INSTALL_VERSION = "install_version"  # replica: hold the service's newest version
    DROP_OLD_VERSIONS = "drop_old_versions"  # replica: hold only the newest it has
    ANSWER_NEWEST = "answer_newest"  # replica, odd: from now on, even: no more
    MOVE_BOUND = "move_bound"  # shard to the left, part of its keys
    CHANGE_PRICE = "change_price"  # operator, price
    CUT = "cut"  # from zone, to zone
    CUT_OFF = "cut_off"  # zone
    HEAL = "heal"  # all cuts
    SLOW_PATH = "slow_path"  # from zone, to zone: a second longer until the next HEAL
    REPEAT_RESULTS = "repeat_results"  # odd: results between nodes come twice from now on
    BREAK_LINK = "break_link"  # node, node
    STORE_DOWN = "store_down"  # milliseconds, odd: silent
    LOSE_STORE_REPLIES = "lose_store_replies"  # how many
    LAPSE_LEASES = "lapse_leases"  # all of them
    DISTURB_REPLIES = "disturb_replies"  # 0 none, 1 late, 2 twice, 3 crossed, 4 all


class _Stored(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Step(_Stored):
    """One step with up to two numbers."""

    name: StepName
    first: int = Field(default=0, ge=0, le=LARGEST_NUMBER)
    second: int = Field(default=0, ge=0, le=LARGEST_NUMBER)


class Script(_Stored):
    """A whole history of a deployment."""

    seed: int = 0
    without: tuple[str, ...] = ()
    steps: tuple[Step, ...] = Field(max_length=MOST_STEPS)


def read_script(path: Path) -> Script | Failure[SimulationFailureKind]:
    """Read a script from a JSON file."""
    try:
        return Script.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(SimulationFailureKind.UNKNOWN_NAME, f"{path}: {error}")
    except ValidationError as error:
        return Failure(SimulationFailureKind.MALFORMED, f"{path}: {error}")


def write_script(script: Script, path: Path) -> None:
    """Write a script as JSON, a step a line."""
    steps = ",\n  ".join(step.model_dump_json(exclude_defaults=True) for step in script.steps)
    head = script.model_dump_json(exclude={"steps"})[:-1]
    path.write_text(f'{head},"steps":[\n  {steps}\n]}}\n', encoding="utf-8")
