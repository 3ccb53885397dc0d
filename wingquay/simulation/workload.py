"""Open-loop load: Poisson arrivals for each kind of request, whatever the answers do."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from ..model.identifiers import CallerName, RequestId, RequestKindName, ServiceName
from ..model.key_range import KeyRange
from ..model.request import QueryRequest
from .deployment_profile import (
    DeploymentProfile,
    KindProfile,
    ServiceProfile,
)
from .models.service_time import DURATION_DIGITS
from .random_streams import RandomStreams

CALLER = CallerName("portal")
MEAN_OVER_MEDIAN = 1.0833
"""Mean of a log-normal distribution over its median, at sigma 0.4: exp(0.4 ** 2 / 2)."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a caller makes at ``at_seconds``.

    Parameters
    ----------
    node_choice
        From 0 to 1: which of the nodes that are ready the caller turns to.
    body
        Unlike that of any other request, so that the oracle can tell what ran.
    """

    at_seconds: float
    request: QueryRequest
    class_name: str
    deadline_seconds: float
    repeatable: bool
    node_choice: float


def capacity_per_second(service: ServiceProfile) -> float:
    """Return the sub-requests a second that all slots of a service can work off."""
    slots = service.shards * service.replicas_per_shard * service.slots
    return slots / (service.service_seconds * MEAN_OVER_MEDIAN)


def arrivals_per_second(service: ServiceProfile, kind: KindProfile, load: float) -> float:
    """Return the requests a second of a kind that make its share of ``load``."""
    return load * kind.load_share * capacity_per_second(service) / service.shards


class Workload:
    """The arrivals of one kind of request, in order.

    Parameters
    ----------
    load
        Load as a fraction of the service's capacity.
    """

    def __init__(
        self,
        profile: DeploymentProfile,
        service: ServiceProfile,
        kind: KindProfile,
        load: float,
        streams: RandomStreams,
    ) -> None:
        self._service = service
        self._kind = kind
        self._rate = arrivals_per_second(service, kind, load)
        self._random = streams.stream(f"arrivals/{service.name}/{kind.name}")
        self._asked = 0
        self._shard_keys = [
            [key for key in profile.dataset.keys if key_range.contains(key)]
            for key_range in profile.dataset.shard_ranges(service.shards)
        ]

    def arrivals(self, start: float, end: float) -> Iterator[Arrival]:
        """Yield the arrivals between ``start`` and ``end``."""
        at_seconds = start
        while True:
            gap_seconds = self._random.expovariate(self._rate)
            at_seconds = round(at_seconds + gap_seconds, DURATION_DIGITS)
            if at_seconds >= end:
                return
            self._asked += 1
            yield self._arrival(at_seconds, self._asked)

    def next_arrival(self, at_seconds: float, node_choice: float) -> Arrival:
        """Return one more request, made at ``at_seconds``."""
        self._asked += 1
        return replace(self._arrival(at_seconds, self._asked), node_choice=node_choice)

    def _arrival(self, at_seconds: float, number: int) -> Arrival:
        name = f"{self._kind.name}-{number}"
        random_source = self._random
        request = QueryRequest(
            request_id=RequestId(name),
            caller=CALLER,
            service=ServiceName(self._service.name),
            kind=RequestKindName(self._kind.name),
            key_ranges=self._key_ranges(random_source),
            idempotency_key=None if self._kind.repeatable else name,
            body=name,
            traceparent=make_traceparent(random_source),
        )
        return Arrival(
            at_seconds=at_seconds,
            request=request,
            class_name=self._kind.class_name,
            deadline_seconds=self._kind.deadline_seconds,
            repeatable=self._kind.repeatable,
            node_choice=random_source.random(),
        )

    def _key_ranges(self, random_source: Random) -> tuple[KeyRange, ...]:
        if not self._kind.whole_range:
            return tuple(
                KeyRange.from_key(random_source.choice(keys)) for keys in self._shard_keys if keys
            )
        first = random_source.choice(self._shard_keys[0])
        last = random_source.choice(self._shard_keys[-1])
        return (KeyRange(min(first, last), max(first, last) + "\0"),)


def make_traceparent(random_source: Random) -> str:
    """Return a W3C trace context of its own."""
    return f"00-{random_source.getrandbits(128):032x}-{random_source.getrandbits(64):016x}-01"
