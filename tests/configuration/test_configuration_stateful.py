"""Stateful fuzzing of intents and confirms under faults, checked by a simple oracle.

The oracle records the diff of each plan and the reply to each confirm. From the store's documents
it checks that each revision from 2 on differs from the previous one by the diff of its plan, that
no plan took effect twice, and that no plan took effect whose confirms all failed.
"""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from tests.configuration.examples import assign, price
from tests.configuration.fleet import check_history, configured_cluster
from wingquay.configuration.diff import document_diff
from wingquay.configuration.document import (
    EMPTY_DOCUMENT,
    ConfigurationDocument,
    parse_document,
)
from wingquay.configuration.keys import CURRENT_KEY
from wingquay.model.failure import Failure
from wingquay.model.identifiers import Revision
from wingquay.model.intent import Intent, RestoreRevision
from wingquay.ports.operator import (
    ConfirmPlan,
    ConfirmResult,
    OperatorFailureKind,
    PlanResult,
    ProposePlan,
)
from wingquay.simulation.configuration_cluster import ConfigurationCluster
from wingquay.simulation.hollow_node import HollowNode
from wingquay.simulation.models.store_model import StoreSettings
from wingquay.simulation.models.store_operations import prefix_span

INTENTS: tuple[Intent, ...] = (
    assign(),
    assign("tower-sweep", "lowest"),
    price("gold", 11),
    price("silver", 20),
    price("spare", 3),
    price("gold", 10),
    RestoreRevision(revision=Revision(1)),
)
STORE_FAULTS = ("refuse", "silent", "slow", "lose replies", "skip and break watches")
NODE_COUNT = 6
FAULT_SECONDS = st.sampled_from((1.0, 8.0, 40.0))
NODES = st.integers(0, NODE_COUNT - 1)
SETTLING_SECONDS = 200.0


def stored_documents(cluster: ConfigurationCluster) -> list[ConfigurationDocument]:
    """Return all revisions in the store in order, starting with the empty document."""
    entries = cluster.store.state.read(prefix_span("wingquay/configuration/history/"))
    values = [entry.value for entry in entries]
    values += [entry.value for entry in cluster.store.state.read(prefix_span(CURRENT_KEY))]
    documents = {EMPTY_DOCUMENT.revision: EMPTY_DOCUMENT}
    for value in values:
        document = parse_document(value)
        assert isinstance(document, ConfigurationDocument)
        documents[document.revision] = document
    return [documents[revision] for revision in sorted(documents)]


class ConfigurationFuzz(RuleBasedStateMachine):
    """Commands of operators and faults of store, nodes and network, in any order."""

    plans = Bundle("plans")

    @initialize(seed=st.integers(0, 10_000), lost_reply_share=st.sampled_from((0.0, 0.1, 0.3)))
    def configure(self, seed: int, lost_reply_share: float) -> None:
        self.cluster = configured_cluster(seed, settings=StoreSettings(rate_per_second=100.0))
        self.cluster.store.faults = type(self.cluster.store.faults)(
            lost_reply_share, self.cluster.random
        )
        self.plan_diffs: dict[str, tuple[str, ...]] = {}
        self.confirms: dict[str, list[str]] = {}

    def node(self, index: int) -> HollowNode:
        return self.cluster.nodes[index]

    @rule(target=plans, index=NODES, intent=st.sampled_from(INTENTS))
    def propose(self, index: int, intent: Intent) -> str | None:
        command = ProposePlan(intents=(intent,))
        exchange = self.cluster.command(self.node(index), command)
        self.cluster.run(3.0)
        result = self.cluster.replies.get(exchange)
        if not isinstance(result, PlanResult):
            return None
        self.plan_diffs[result.plan.plan_id] = result.plan.diff
        return result.plan.plan_id

    @rule(plan=plans, index=NODES, wait=st.sampled_from((0.0, 0.005, 0.013, 0.02, 1.0)))
    def confirm(self, plan: str | None, index: int, wait: float) -> None:
        if plan is None:
            return
        self.begin_confirm(plan, index)
        self.cluster.run(wait)

    def begin_confirm(self, plan: str, index: int) -> None:
        exchange = self.cluster.command(self.node(index), ConfirmPlan(plan_id=plan))
        self.confirms.setdefault(plan, []).append(exchange)

    @rule(first=plans, second=plans, left=NODES, right=NODES)
    def race(self, first: str | None, second: str | None, left: int, right: int) -> None:
        for plan, index in ((first, left), (second, right)):
            if plan is not None:
                self.begin_confirm(plan, index)
        self.cluster.run(10.0)

    @rule(plan=plans, index=NODES, seconds=FAULT_SECONDS, kind=st.sampled_from(STORE_FAULTS))
    def fail_while_the_swap_is_under_way(
        self, plan: str | None, index: int, seconds: float, kind: str
    ) -> None:
        if plan is None:
            return
        # The first swap copies the base to the history; the second writes the change.
        swaps = self.cluster.counts["store_CompareAndSwap"] + 2
        self.begin_confirm(plan, index)
        self.cluster.run_until(
            lambda: self.cluster.counts["store_CompareAndSwap"] >= swaps, 0.1, 0.0005
        )
        self.fail_store(seconds, kind)
        self.cluster.run(seconds)

    def fail_store(self, seconds: float, kind: str) -> None:
        store, now = self.cluster.store, self.cluster.now
        if kind == "refuse":
            store.refuse_until(now + seconds, now)
        elif kind == "silent":
            store.silence_until(now + seconds, now)
        elif kind == "slow":
            store.slow_down(3.0, now + seconds, now)
        elif kind == "lose replies":
            store.faults.replies_to_lose = 2
        else:
            store.skip_watch_events(3)
            store.break_watches("compacted", now)

    @rule(seconds=FAULT_SECONDS, kind=st.sampled_from(STORE_FAULTS))
    def store_fails(self, seconds: float, kind: str) -> None:
        self.fail_store(seconds, kind)

    @rule(seconds=st.sampled_from((0.01, 1.0, 15.0, 60.0)))
    def wait(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @rule(index=NODES, seconds=FAULT_SECONDS, restart=st.booleans())
    def pause_or_restart(self, index: int, seconds: float, restart: bool) -> None:
        if restart:
            self.cluster.restart(self.node(index))
        else:
            self.cluster.pause(self.node(index), seconds)

    @rule(loss=st.sampled_from((0.0, 0.5)))
    def cut_off(self, loss: float) -> None:
        self.cluster.cut("cluj-a", "cluj-b")
        self.cluster.message_loss = loss

    @rule()
    def heal(self) -> None:
        self.cluster.heal()
        self.cluster.message_loss = 0.0

    @invariant()
    def history_is_consistent(self) -> None:
        if hasattr(self, "cluster"):
            check_history(self.cluster)

    @invariant()
    def every_revision_matches_the_diff_of_its_plan(self) -> None:
        if not hasattr(self, "cluster"):
            return
        documents = stored_documents(self.cluster)
        numbers = [document.revision for document in documents]
        assert numbers == list(range(len(documents))), f"revisions are missing: {numbers}"
        for before, after in zip(documents[1:], documents[2:], strict=False):
            confirm_id = after.configuration.confirm_id
            assert tuple(document_diff(before, after)) == self.plan_diffs[confirm_id]

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self.heal()
        self.cluster.run(SETTLING_SECONDS)
        self.every_revision_matches_the_diff_of_its_plan()
        check_history(self.cluster)
        stored = stored_documents(self.cluster)[-1]
        revisions = {node.machine.revision for node in self.cluster.nodes}
        assert revisions == {stored.revision}, f"{revisions} instead of {stored.revision}"
        for plan, exchanges in self.confirms.items():
            self.check_replies(stored, plan, exchanges)

    def check_replies(self, stored: ConfigurationDocument, plan: str, exchanges: list[str]) -> None:
        """Check the replies to confirms of a plan against the stored audit records."""
        replies = [reply for e in exchanges if (reply := self.cluster.replies.get(e)) is not None]
        record = stored.find_record(plan)
        for reply in replies:
            if isinstance(reply, ConfirmResult):
                assert record is not None and record.revision == reply.revision
        kinds = {reply.kind for reply in replies if isinstance(reply, Failure)}
        all_replied = len(replies) == len(exchanges)
        if all_replied and len(kinds) and OperatorFailureKind.NOT_KNOWN_YET not in kinds:
            reported_landed = any(isinstance(reply, ConfirmResult) for reply in replies)
            assert reported_landed == (record is not None), f"{plan}: {replies}"


class ConfigurationFuzzTest(TestCase):
    """Runs the state machine with a limited number of histories."""

    def test_operators_and_faults_in_any_order(self) -> None:
        run_state_machine_as_test(
            ConfigurationFuzz,
            settings=settings(
                max_examples=40,
                stateful_step_count=30,
                deadline=None,
                derandomize=True,
                # Skips shrinking, which takes minutes.
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
            ),
        )
