"""Sends probes to other nodes, for this node and on behalf of others."""

import random
from dataclasses import dataclass

from ..model.identifiers import NodeId
from ..ports.peer import (
    Acknowledgement,
    NodeIdentity,
    NodeState,
    Ping,
    PingRequest,
)
from .member_table import MemberTable
from .message_sender import NO_ACK_SEQUENCE, MessageSender
from .node_state_tracker import NodeStateTracker
from .probing import Probe, ProbeOrder, ProbeStep, new_probe
from .settings import MembershipSettings

MAX_RELAYED_PROBES = 1_000
"""Maximum number of unanswered probes on behalf of others."""

FIRST_SEQUENCE_BITS = 32


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """A probe on behalf of ``requester``, whose own probe has the number ``requester_sequence``.

    If it is still unanswered at ``nack_at`` (seconds), the requester gets a nack.
    """

    requester: NodeIdentity
    requester_sequence: int
    subject: NodeId
    nack_at: float


class Prober:
    """Runs one probe of this node at a time, and the probes on behalf of others.

    A relay that gets no answer sends a nack to the node that requested the probe. Source:
    Lifeguard.
    """

    def __init__(
        self,
        own_id: NodeId,
        settings: MembershipSettings,
        table: MemberTable,
        order: ProbeOrder,
        tracker: NodeStateTracker,
        messages: MessageSender,
        random_source: random.Random,
    ) -> None:
        self._own_id = own_id
        self._settings = settings
        self._table = table
        self._order = order
        self._tracker = tracker
        self._messages = messages
        self._random = random_source
        self._sequence = random_source.getrandbits(FIRST_SEQUENCE_BITS)
        self._probe: Probe | None = None
        self._next_probe_at = float("-inf")
        self._relayed: dict[int, _RelayedProbe] = {}

    def next_sequence(self) -> int:
        """Return an unused sequence number."""
        self._sequence += 1
        return self._sequence

    def cancel(self) -> None:
        """Abort the current probe without a result."""
        self._probe = None

    def tick(self, now: float) -> None:
        """Advance the current probe, or start the next one if it is due."""
        if self._probe is not None:
            self._continue(self._probe, now)
        if self._probe is None and now >= self._next_probe_at:
            self._start(now)
        self._send_nacks(now)

    def _start(self, now: float) -> None:
        multiplier = self._tracker.health.multiplier
        self._next_probe_at = now + self._settings.probe_interval_seconds * multiplier
        target = self._order.next_target()
        if target is None:
            return
        sequence = self.next_sequence()
        self._probe = new_probe(target.identity, sequence, self._settings, multiplier, now)
        self._messages.ping(target.identity, sequence)

    def _continue(self, probe: Probe, now: float) -> None:
        match probe.next_step(now):
            case ProbeStep.RESEND:
                self._messages.ping(probe.target, probe.sequence)
            case ProbeStep.PROBE_INDIRECTLY:
                self._probe_indirectly(probe)
            case ProbeStep.GIVE_UP:
                self._give_up(probe, now)

    def _probe_indirectly(self, probe: Probe) -> None:
        self._messages.ping(probe.target, probe.sequence)
        others = [
            member.identity
            for member in self._table.not_dead()
            if member.state is NodeState.ALIVE and member.identity != probe.target
        ]
        relays = self._random.sample(others, min(self._settings.indirect_probes, len(others)))
        for relay in relays:
            self._messages.request_probe(relay, probe.sequence, probe.target)

    def _give_up(self, probe: Probe, now: float) -> None:
        self._probe = None
        if probe.nacks == 0:
            # No relay has answered either: this node itself may be unreachable.
            self._tracker.health.worsen()
        self._tracker.suspect(probe.target.node_id, now)

    def on_ping(self, sender: NodeIdentity, message: Ping) -> None:
        """Answer a probe."""
        if message.sequence != NO_ACK_SEQUENCE:
            self._messages.acknowledge(sender, message.sequence, self._own_id)

    def on_acknowledgement(
        self, sender: NodeIdentity, message: Acknowledgement, now: float
    ) -> None:
        """Handle an answer to a probe of this node, or to one on behalf of another node.

        If its subject is not the probe's target, it is a nack from a relay, or, if it comes from
        the target's address, shows that a new process has replaced the target.
        """
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            if message.subject == relayed.subject:
                requester, sequence = relayed.requester, relayed.requester_sequence
                self._messages.acknowledge(requester, sequence, relayed.subject)
            return
        probe = self._probe
        if probe is None or message.sequence != probe.sequence:
            return
        if message.subject == probe.target.node_id:
            self._probe = None
            self._tracker.health.improve()
            self._tracker.record_answer(probe.target.node_id, now)
        elif (sender.host, sender.port) == (probe.target.host, probe.target.port):
            self._probe = None
            self._tracker.record_replaced_process(probe.target.node_id, now)
        else:
            probe.nacks += 1

    def on_ping_request(self, sender: NodeIdentity, message: PingRequest, now: float) -> None:
        """Probe a node on behalf of ``sender``."""
        if message.subject.node_id == self._own_id:
            self._messages.acknowledge(sender, message.sequence, self._own_id)
            return
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            return
        sequence = self.next_sequence()
        nack_at = now + self._settings.probe_resend_seconds
        subject = message.subject.node_id
        self._relayed[sequence] = _RelayedProbe(sender, message.sequence, subject, nack_at)
        self._messages.ping(message.subject, sequence)

    def _send_nacks(self, now: float) -> None:
        """Send a nack for each unanswered relayed probe.

        The nack shows the requester that its own messages get through.
        """
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.nack_at:
                del self._relayed[sequence]
                requester, requester_sequence = relayed.requester, relayed.requester_sequence
                # An acknowledgement with the relay itself as subject is a nack.
                self._messages.acknowledge(requester, requester_sequence, self._own_id)
