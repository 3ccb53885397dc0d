"""Stateful fuzzing: hypothesis chooses what happens to a small deployment; the oracle judges.

Needs the ``hypothesis`` library, which only the simulator and the tests use.
"""

from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ..model.mechanisms import Mechanism
from .script import Script, Step, StepName
from .scripted_simulation import ScriptedSimulation

STEPS_IN_A_SCRIPT = 30
LONGEST_WAIT_MILLISECONDS = 3000
LONGEST_PAUSE_MILLISECONDS = 12_000
MOST_PLACES = 12

_places = st.integers(0, MOST_PLACES - 1)
_flags = st.integers(0, 1)
_waits = st.integers(1, LONGEST_WAIT_MILLISECONDS)
_pauses = st.integers(1, LONGEST_PAUSE_MILLISECONDS)


class ViolationFoundError(AssertionError):
    """The oracle found a violation; stops hypothesis, which then shrinks the script."""


@dataclass(slots=True)
class Search:
    """What a search has run so far.

    Parameters
    ----------
    failing
        The script of the last run that showed a violation; the shortest one at the end.
    """

    scripts: int = 0
    steps: int = 0
    failing: Script | None = None
    examples: tuple[str, ...] = ()


class DeploymentMachine(RuleBasedStateMachine):
    """The rules by which things happen to a deployment."""

    search = Search()
    simulation_seed = 0
    without: frozenset[Mechanism] = frozenset()

    def __init__(self) -> None:
        super().__init__()
        self.search.scripts += 1
        self._steps: list[Step] = []
        self._deployment = ScriptedSimulation(self.simulation_seed, self.without)

    def _perform(self, name: StepName, first: int = 0, second: int = 0) -> None:
        step = Step(name=name, first=first, second=second)
        self._steps.append(step)
        self.search.steps += 1
        self._deployment.perform(step)

    @rule(milliseconds=_waits)
    def wait(self, milliseconds: int) -> None:
        """Let time pass."""
        self._perform(StepName.WAIT, milliseconds)

    @rule(kind=_places, node=_places)
    def ask(self, kind: int, node: int) -> None:
        """Send a request."""
        self._perform(StepName.ASK, kind, node)

    @rule(node=_places, milliseconds=_waits)
    def ask_again(self, node: int, milliseconds: int) -> None:
        """Repeat the last request through a node."""
        self._perform(StepName.ASK_AGAIN, node, milliseconds)

    @rule(
        name=st.sampled_from((StepName.CRASH_NODE, StepName.STOP_NODE, StepName.START_NODES)),
        node=_places,
    )
    def change_nodes(self, name: StepName, node: int) -> None:
        """End or start processes."""
        self._perform(name, node)

    @rule(node=_places, milliseconds=_pauses)
    def pause_node(self, node: int, milliseconds: int) -> None:
        """Pause a node."""
        self._perform(StepName.PAUSE_NODE, node, milliseconds)

    @rule(
        name=st.sampled_from(
            (
                StepName.LOSE_REPLICA,
                StepName.RESTART_REPLICA,
                StepName.DRAIN_REPLICA,
                StepName.SLOW_REPLICA,
                StepName.ANSWER_NEWEST,
            )
        ),
        replica=_places,
        flag=_flags,
    )
    def change_replica(self, name: StepName, replica: int, flag: int) -> None:
        """Disturb a replica."""
        self._perform(name, replica, flag)

    @rule(
        name=st.sampled_from(
            (StepName.NEW_VERSION, StepName.INSTALL_VERSION, StepName.DROP_OLD_VERSIONS)
        ),
        place=_places,
    )
    def change_version(self, name: StepName, place: int) -> None:
        """Change the index versions."""
        self._perform(name, place)

    @rule(left=_places, part=_places)
    def move_bound(self, left: int, part: int) -> None:
        """Move a bound between shards."""
        self._perform(StepName.MOVE_BOUND, left, part)

    @rule(
        name=st.sampled_from(
            (
                StepName.CUT,
                StepName.CUT_OFF,
                StepName.HEAL,
                StepName.BREAK_LINK,
                StepName.SLOW_PATH,
                StepName.REPEAT_RESULTS,
            )
        ),
        one=_places,
        other=_places,
    )
    def change_network(self, name: StepName, one: int, other: int) -> None:
        """Disturb the network."""
        self._perform(name, one, other)

    @rule(milliseconds=_pauses, silent=_flags)
    def store_down(self, milliseconds: int, silent: int) -> None:
        """Take the store away."""
        self._perform(StepName.STORE_DOWN, milliseconds, silent)

    @rule(
        name=st.sampled_from((StepName.LOSE_STORE_REPLIES, StepName.LAPSE_LEASES)),
        count=_places,
    )
    def disturb_store(self, name: StepName, count: int) -> None:
        """Lose replies or leases."""
        self._perform(name, count)

    @rule(operator=_flags, price=_places)
    def change_price(self, operator: int, price: int) -> None:
        """Let an operator change the configuration."""
        self._perform(StepName.CHANGE_PRICE, operator, price)

    @rule(how=_places)
    def disturb_replies(self, how: int) -> None:
        """Let replies come late, twice or crossed from now on."""
        self._perform(StepName.DISTURB_REPLIES, how)

    @rule()
    def leave(self) -> None:
        """Let the last caller go."""
        self._perform(StepName.LEAVE)

    @invariant()
    def nothing_is_violated(self) -> None:
        """Ask the oracle."""
        self._judge()

    def teardown(self) -> None:
        """Let everything end, and ask the oracle once more."""
        self._deployment.finish()
        self._judge()

    def _judge(self) -> None:
        examples = self._deployment.examples
        if examples:
            without = tuple(sorted(mechanism.value for mechanism in self.without))
            self.search.failing = Script(
                seed=self.simulation_seed, without=without, steps=tuple(self._steps)
            )
            self.search.examples = tuple(examples)
            raise ViolationFoundError(examples[0])


def search_for_violations(
    search_seed: int,
    steps: int,
    without: frozenset[Mechanism] = frozenset(),
    *,
    derandomize: bool = False,
) -> Search:
    """Run about ``steps`` random steps; on a violation, shrink the script that led to it.

    Parameters
    ----------
    derandomize
        Choose the steps from the rules alone instead of from ``search_seed``.
    """
    found = Search()

    class SeededMachine(DeploymentMachine):
        search = found
        simulation_seed = search_seed

    SeededMachine.without = without
    chosen = settings(
        max_examples=max(1, steps // STEPS_IN_A_SCRIPT),
        stateful_step_count=STEPS_IN_A_SCRIPT,
        deadline=None,
        database=None,
        derandomize=derandomize,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=tuple(HealthCheck),
        verbosity=Verbosity.quiet,
        print_blob=False,
        report_multiple_bugs=False,
    )
    machine = SeededMachine if derandomize else seed(search_seed)(SeededMachine)
    try:
        run_state_machine_as_test(machine, settings=chosen)
    except ViolationFoundError:
        pass
    return found
