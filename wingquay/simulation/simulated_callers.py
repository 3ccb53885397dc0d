"""Simulated callers: they send at their own pace, whatever becomes of earlier requests."""

from dataclasses import replace
from random import Random

from ..model.answer import Answer
from ..model.identifiers import NodeId, RequestId
from ..ports.caller import AnswerCaller, CallerGone, CallerRequest
from .digest import EventDigest
from .measurements import Measurements
from .network import CLIENTS, JITTER_SHARE, Network
from .oracle import Oracle, Submission
from .simulated_node import SimulatedNode
from .virtual_clock import VirtualClock
from .workload import Arrival, Workload, make_traceparent

READINESS_LAG_SECONDS = 0.5
"""How long callers take to notice what a node's readiness page says."""
RECONNECT_SECONDS = 0.002
MOST_REFUSED_CONNECTIONS = 20


class Repetition:
    """How callers repeat themselves: the share that does, and how soon after the first try."""

    def __init__(self) -> None:
        self.share = 0.0
        self.within_seconds = 0.0
        self.gone_share = 0.0
        """Share of callers that close their connection before they are answered."""


class SimulatedCallers:
    """Sends arrivals to nodes and receives answers.

    Parameters
    ----------
    random_source
        For what callers do beyond their arrivals.
    """

    def __init__(
        self,
        network: Network,
        clock: VirtualClock,
        digest: EventDigest,
        oracle: Oracle,
        measurements: Measurements,
        random_source: Random,
    ) -> None:
        self.repetition = Repetition()
        self._repetitions = 0
        self._network = network
        self._clock = clock
        self._digest = digest
        self._oracle = oracle
        self._measurements = measurements
        self._random = random_source
        self._offered: list[SimulatedNode] = []
        self._open: dict[NodeId, dict[RequestId, Submission]] = {}

    # -- which nodes callers turn to -----------------------------------------------------------

    def notice(self, node: SimulatedNode, ready: bool) -> None:
        """Take in that a node's readiness page changed."""
        self._clock.after(READINESS_LAG_SECONDS, self._noticed, node, ready)

    def _noticed(self, node: SimulatedNode, ready: bool) -> None:
        if node in self._offered:
            self._offered.remove(node)
        if ready and node.is_listening:
            self._offered.append(node)
            self._offered.sort(key=lambda entry: entry.identity.node_id)

    # -- sending -------------------------------------------------------------------------------

    def run(self, workload: Workload, start: float, end: float) -> None:
        """Send the workload's requests between ``start`` and ``end``."""
        arrivals = workload.arrivals(start, end)

        def send_next() -> None:
            arrival = next(arrivals, None)
            if arrival is not None:
                self._clock.at(arrival.at_seconds, arrive, arrival)

        def arrive(arrival: Arrival) -> None:
            send_next()
            self.send(arrival)
            self._maybe_repeat(arrival)

        send_next()

    def send(self, arrival: Arrival) -> None:
        """Send one request now."""
        self._measurements.arrived(arrival)
        self._submit(arrival, MOST_REFUSED_CONNECTIONS)

    def repeat(self, arrival: Arrival, node_choice: float, seconds: float) -> None:
        """Send a request once more in ``seconds``, to another node perhaps."""
        self._repetitions += 1
        repeated = replace(
            arrival.request,
            request_id=RequestId(f"{arrival.request.request_id}-again-{self._repetitions}"),
            traceparent=make_traceparent(self._random),
        )
        again = replace(arrival, request=repeated, node_choice=node_choice)
        self._clock.after(seconds, self._submit, again, MOST_REFUSED_CONNECTIONS)

    def _maybe_repeat(self, arrival: Arrival) -> None:
        repetition = self.repetition
        if not repetition.share or self._random.random() >= repetition.share:
            return
        seconds = repetition.within_seconds * self._random.random()
        self.repeat(arrival, self._random.random(), seconds)

    def _submit(self, arrival: Arrival, tries_left: int) -> None:
        if not self._offered or tries_left == 0:
            self._measurements.nobody_listened(arrival)
            return
        node = self._offered[int(arrival.node_choice * len(self._offered))]
        seconds = self._network.one_way_seconds(CLIENTS, node.identity.zone)
        self._clock.after(seconds, self._arrive, arrival, node, tries_left)

    def _arrive(self, arrival: Arrival, node: SimulatedNode, tries_left: int) -> None:
        if not node.is_listening:
            # The connection is refused: nothing was sent, so the caller tries another node.
            elsewhere = replace(arrival, node_choice=self._random.random())
            self._clock.after(RECONNECT_SECONDS, self._submit, elsewhere, tries_left - 1)
            return
        longest_way = self._network.one_way_seconds(CLIENTS, node.identity.zone)
        longest_way *= 1.0 + JITTER_SHARE
        submission = Submission(
            request=arrival.request,
            body=arrival.request.body,
            repeatable=arrival.repeatable,
            node_id=node.identity.node_id,
            arrived_at=self._clock.now,
            due_at=self._clock.now + arrival.deadline_seconds + longest_way,
        )
        self._oracle.submitted(submission)
        request_id = arrival.request.request_id
        self._open.setdefault(node.identity.node_id, {})[request_id] = submission
        node.deliver(CallerRequest(arrival.request))
        if self.repetition.gone_share and self._random.random() < self.repetition.gone_share:
            seconds = self.repetition.within_seconds * self._random.random()
            self._clock.after(seconds, self._leave, node, request_id)

    def leave(self, request_id: RequestId) -> None:
        """Let the caller of a request close its connection, if it still waits."""
        for node in self._offered:
            self._leave(node, request_id)

    def _leave(self, node: SimulatedNode, request_id: RequestId) -> None:
        submission = self._open.get(node.identity.node_id, {}).pop(request_id, None)
        if submission is not None:
            self._oracle.connection_broken(request_id)
            node.deliver(CallerGone(request_id))

    # -- receiving -----------------------------------------------------------------------------

    def answer(self, node: SimulatedNode, action: AnswerCaller) -> None:
        """Carry an answer to its caller."""
        request_id = action.answer.request_id
        submission = self._open.get(node.identity.node_id, {}).pop(request_id, None)
        if submission is None and self._has_left(request_id):
            return
        self._network.send(node.identity.zone, CLIENTS, self._receive, action.answer)

    def _has_left(self, request_id: RequestId) -> bool:
        submission = self._oracle.submissions.get(request_id)
        return submission is not None and submission.broken

    def _receive(self, answer: Answer) -> None:
        now = self._clock.now
        self._digest.record_answer(now, answer)
        self._oracle.answered(answer, now)
        submission = self._oracle.submissions.get(answer.request_id)
        if submission is not None:
            self._measurements.answered(submission, answer, now)

    def node_lost(self, node: SimulatedNode) -> int:
        """Break the connections of a process that ended; return how many there were."""
        lost = self._open.pop(node.identity.node_id, {})
        for request_id in lost:
            self._oracle.connection_broken(request_id)
        return len(lost)
