"""Carries out operators' commands, each as one script."""

from ..model.failure import Failure
from ..model.mechanisms import Mechanism
from ..model.plan import Plan
from ..ports.machine import Action, Count, Log
from ..ports.operator import (
    ConfirmOutcome,
    ConfirmPlan,
    DiffConfigurations,
    DiscardPlan,
    DiscardResult,
    ListPlans,
    OperatorFailureKind,
    OperatorReply,
    OperatorRequest,
    PlanListResult,
    PlanResult,
    PlanSummary,
    ProposePlan,
    ShowConfiguration,
    ShowHistory,
    ShowPlan,
    ShowStatus,
)
from .confirmation import (
    Confirmation,
    ConfirmCommand,
    Landed,
    delete_unlisted_history,
    read_earlier_documents,
)
from .current_document import CurrentDocumentReader, StoredDocument
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .node_view import NodeView
from .plan import Proposal, make_plan
from .plan_store import PlanStore
from .revision_reader import (
    STALE_REVISION_WARNING,
    CommandResult,
    RevisionReader,
)
from .revision_tracker import RevisionTracker
from .script import Script, ScriptRunner, pause, perform
from .status import StatusReporter
from .store_schedule import FullJitterBackoff
from .watcher import Watcher

STATUS_TIMEOUT_SECONDS = 0.3
"""Longest time that a status command waits for nodes of each zone to report their revision."""

STATUS_CHECK_INTERVAL_SECONDS = 0.01
"""Time between checks whether all contacted nodes have reported."""

RETRY_MAX_CEILING_SECONDS = 1.0
"""Longest delay between two attempts of a confirm."""

STORE_UNAVAILABLE_PLAN_WARNING = (
    "the store does not answer: the plan is based on revision {revision}, the newest on this node"
)


class OperatorRequests:
    """Runs a script for each command and replies with its result."""

    def __init__(  # noqa: PLR0913 - needs all parts of the machine
        self,
        view: NodeView,
        runner: ScriptRunner,
        in_force: InForceConfiguration,
        revision_tracker: RevisionTracker,
        dissemination: Dissemination,
        document_reader: CurrentDocumentReader,
        watcher: Watcher,
    ) -> None:
        self._view = view
        self._runner = runner
        self._in_force = in_force
        self._revision_tracker = revision_tracker
        self._dissemination = dissemination
        self._document_reader = document_reader
        self._watcher = watcher
        self._plan_store = PlanStore()
        self._revisions = RevisionReader(
            in_force, dissemination, document_reader, runner.store_health
        )
        self._status = StatusReporter(view, in_force, revision_tracker, runner.store_health)

    def handle(self, request: OperatorRequest, now: float) -> list[Action]:
        """Start the script of a command."""
        return self._runner.start(self._reply(request, now), now)

    def _reply(self, request: OperatorRequest, now: float) -> Script[list[Action]]:
        result = yield from self._run(request, now)
        outcome = result.kind.value if isinstance(result, Failure) else "done"
        command = type(request.command).__name__
        fields = (("command", command), ("operator", request.operator), ("outcome", outcome))
        return [
            Log("operator_command", fields=fields),
            Count("operator_commands_total", labels=(("command", command), ("outcome", outcome))),
            OperatorReply(request.exchange_id, result),
        ]

    def _run(self, request: OperatorRequest, now: float) -> Script[CommandResult]:
        command = request.command
        match command:
            case ProposePlan():
                return (yield from self._propose(request, command))
            case ConfirmPlan():
                return (yield from self._confirm(request, command, now))
            case ShowPlan() | ListPlans() | DiscardPlan():
                return (yield from self._run_on_plans(request, command))
            case ShowConfiguration() | ShowHistory() | DiffConfigurations():
                return (yield from self._revisions.run(command))
            case ShowStatus():
                return (yield from self._show_status(now))
        reason = f"unknown command {type(command).__name__}"
        return Failure(OperatorFailureKind.INVALID, reason)

    def _show_status(self, now: float) -> Script[CommandResult]:
        """Query a few nodes of each zone and wait up to ``STATUS_TIMEOUT_SECONDS`` for replies."""
        contacted = self._dissemination.sample_each_zone()
        yield from perform(*self._dissemination.announce(contacted))
        later = now
        while later < now + STATUS_TIMEOUT_SECONDS:
            if all(self._revision_tracker.reported_since(node.node_id, now) for node in contacted):
                break
            later = yield from pause(STATUS_CHECK_INTERVAL_SECONDS)
        return self._status.report(later, self._watcher.holds_assignment)

    def _run_on_plans(
        self, request: OperatorRequest, command: ShowPlan | ListPlans | DiscardPlan
    ) -> Script[CommandResult]:
        match command:
            case ShowPlan():
                plan = yield from self._plan_store.find(command.plan_id)
                return plan if isinstance(plan, Failure) else _plan_result(plan, request)
            case ListPlans():
                return (yield from self._list_plans(request))
            case DiscardPlan():
                return (yield from self._discard(command))

    def _propose(self, request: OperatorRequest, command: ProposePlan) -> Script[CommandResult]:
        base = yield from self._revisions.newest()
        if isinstance(base, Failure):
            return base
        warnings: tuple[str, ...] = ()
        if self._runner.store_health.reachable is False:
            warnings = (STORE_UNAVAILABLE_PLAN_WARNING.format(revision=base.revision),)
        earlier = yield from read_earlier_documents(command.intents, base)
        if isinstance(earlier, Failure):
            return earlier
        proposal = Proposal(
            plan_id=f"plan-{self._view.random.getrandbits(64):016x}",
            operator=request.operator,
            intents=command.intents,
            earlier=earlier,
            load=self._view.load,
            unix_seconds=request.unix_seconds,
            warnings=warnings,
        )
        plan = make_plan(base, proposal)
        if isinstance(plan, Failure):
            return Failure(OperatorFailureKind.INVALID, plan.reason)
        saved = yield from self._plan_store.save(plan)
        return _plan_result(saved, request)

    def _confirm(
        self, request: OperatorRequest, command: ConfirmPlan, now: float
    ) -> Script[CommandResult]:
        backoff = FullJitterBackoff(
            self._view.random, max_ceiling_seconds=RETRY_MAX_CEILING_SECONDS
        )
        confirmation = Confirmation(
            ConfirmCommand(command.plan_id, request.operator, request.unix_seconds),
            self._document_reader,
            self._plan_store,
            self._in_force,
            self._dissemination,
            backoff,
            checks_landed_first=Mechanism.CONFIRM_READ_BACK not in self._view.disabled_mechanisms,
        )
        outcome = yield from confirmation.run(now)
        if not isinstance(outcome, Landed):
            return outcome
        landed_at = yield from perform()
        if outcome.result.outcome is ConfirmOutcome.LANDED:
            self._revision_tracker.record_landed(outcome.result.revision, landed_at)
            deletion = delete_unlisted_history(outcome.document)
            yield from perform(*self._runner.start(deletion, landed_at))
        actions = self._dissemination.apply_and_announce(
            outcome.document, landed_at, "confirm", from_store=True
        )
        yield from perform(*actions)
        return outcome.result

    def _list_plans(self, request: OperatorRequest) -> Script[CommandResult]:
        found = yield from self._plan_store.list()
        newest = yield from self._revisions.newest()
        landed = [] if isinstance(newest, Failure) else newest.audit
        landed_ids = {record.confirm_id for record in landed}
        plans = tuple(
            PlanSummary(
                plan_id=plan.plan_id,
                base_revision=plan.base_revision,
                operator=plan.operator,
                first_change=plan.diff[0] if plan.diff else "",
                remaining_seconds=_remaining(plan, request),
            )
            for plan in found.plans
            if plan.plan_id not in landed_ids
        )
        warnings = () if found.complete else (STALE_REVISION_WARNING,)
        return PlanListResult(plans=plans, warnings=warnings)

    def _discard(self, command: DiscardPlan) -> Script[CommandResult]:
        failure = yield from self._plan_store.discard(command.plan_id)
        if failure is not None:
            return failure
        current = yield from self._document_reader.read()
        if isinstance(current, StoredDocument):
            record = current.document.find_record(command.plan_id)
            if record is not None:
                reason = f"the plan has already taken effect as revision {record.revision}"
                return Failure(OperatorFailureKind.CONFLICT, reason)
        return DiscardResult(plan_id=command.plan_id)


def _remaining(plan: Plan, request: OperatorRequest) -> float:
    return max(0.0, plan.expires_unix_seconds - request.unix_seconds)


def _plan_result(plan: Plan, request: OperatorRequest) -> PlanResult:
    return PlanResult(plan=plan, remaining_seconds=_remaining(plan, request))
