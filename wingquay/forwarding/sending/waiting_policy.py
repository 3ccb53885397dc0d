"""Gathers what is known of a request that is not under way, for the decision whether it waits."""

from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..exchange import Exchange, ServiceCall
from ..settings import ForwardingSettings
from .call_queue import CallQueue
from .decision import Decision, WaitingRequest, WaitUntil, decide
from .latencies import RouteLatencies
from .room import NEVER, NO_ROOM, ReplicaRoom, expected_room, room_for_share
from .sending_quotas import SendingQuotas
from .waiting_settings import WaitingSettings


class WaitingPolicy:
    """Decides on requests that are not under way.

    Parameters
    ----------
    settings
        How the rules go.
    forwarding
        When replicas count as out of reach.
    line
        The calls that wait.
    """

    def __init__(
        self,
        settings: WaitingSettings,
        forwarding: ForwardingSettings,
        directory: ReplicaDirectory,
        latencies: RouteLatencies,
        limits: SendingQuotas,
        line: CallQueue,
    ) -> None:
        self._settings = settings
        self._forwarding = forwarding
        self._directory = directory
        self._latencies = latencies
        self._limits = limits
        self._line = line

    def decide(self, exchange: Exchange, now: float) -> Decision:
        """Return what is to be done with a request of which nothing is under way."""
        if exchange.route.shards:
            return self._decide_merged(exchange, now)
        call = exchange.calls[0]
        rooms = self._rooms(call, now)
        has_usable = any(not self._is_blocked(state, now) for state, _ in rooms)
        room = expected_room((room for _, room in rooms), self._line.ahead_of(call, now), now)
        request = WaitingRequest(
            exchange.arrived_at,
            exchange.cutoff_at,
            exchange.ends_at,
            exchange.route.objective_seconds,
            has_usable,
            self._directory.is_settling(now),
            exchange.may_have_run,
            exchange.is_repeatable and call.attempts_left > 0,
            repeat_at=self._limits.repeat_at(call, now) if call.send_count else now,
        )
        return decide(request, room, self._settings, now)

    def recheck_at(self, exchange: Exchange, now: float) -> float:
        """Return when a request that waits is to be looked at again."""
        if not exchange.route.shards:
            match self.decide(exchange, now):
                case WaitUntil(when=when):
                    return when
        return now + self._settings.look_seconds

    def _decide_merged(self, exchange: Exchange, now: float) -> Decision:
        """Decide on a request over shards that has reached none of them."""
        room = NO_ROOM
        if any(call.is_begun for call in exchange.calls):
            later = now + self._settings.look_seconds
            moments = (self._usable_at(call.service, later, now) for call in exchange.calls)
            room = room_for_share(moments, exchange.route.min_share)
        has_usable = room.at < NEVER and any(
            self._directory.has_unblocked(call.service, now) for call in exchange.calls
        )
        request = WaitingRequest(
            exchange.arrived_at,
            exchange.cutoff_at,
            exchange.ends_at,
            exchange.route.objective_seconds,
            has_usable,
            self._directory.is_settling(now),
            is_merged=True,
        )
        return decide(request, room, self._settings, now)

    def _usable_at(self, service: str, later: float, now: float) -> float:
        """Return when a shard may be asked; ``later``: it may be now, but just was not."""
        return max(later, self._directory.unblocked_at(service, now))

    def _rooms(self, call: ServiceCall, now: float) -> list[tuple[ReplicaState, ReplicaRoom]]:
        """Return what is known of the replicas that a call may still be sent to."""
        later = call.refused_incarnations | self._limits.too_cold(call, now)
        return [
            (state, self._room(call, state, state.incarnation in later, now))
            for state in self._directory.candidates(call.service, now)
            if state.incarnation not in call.tried_incarnations
        ]

    def _room(
        self, call: ServiceCall, state: ReplicaState, is_later: bool, now: float
    ) -> ReplicaRoom:
        pace = self._latencies.work_seconds(call.exchange.route)
        if self._is_blocked(state, now):
            # What a silent replica has will not end, as far as is known.
            pace = NEVER
        askable_at = now
        if is_later:
            askable_at = max(now + self._settings.look_seconds, state.blocked_until)
        return ReplicaRoom(
            state.incarnation,
            askable_at,
            state.known_slots,
            self._limits.most(call, state, now),
            len(state.in_flight),
            state.reported_elsewhere(now),
            pace,
        )

    def _is_blocked(self, state: ReplicaState, now: float) -> bool:
        return state.is_blocked(self._forwarding, now)
