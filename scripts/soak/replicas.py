"""All replicas of a soak: their entries in the store, their ends and new starts."""

import asyncio
import random
from itertools import count

from wingquay.model.replica_record import ReplicaRecord
from wingquay.platform.names import REPLICA_PREFIX
from wingquay.platform.standins.documents import replica_value
from wingquay.platform.standins.replica import StandInReplica
from wingquay.platform.standins.replica_behaviour import ReplicaBehaviour
from wingquay.platform.standins.store import StandInStore

from .ledger import Ledger
from .node_process import free_port

HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
LAPSE_BEATS = 3
"""Heartbeats without a word after which an entry goes."""
SLOTS = 2
QUEUE_LENGTH = 12


class Replicas:
    """Starts, ends and replaces replicas.

    Parameters
    ----------
    chance
        Draws what is left to chance.
    """

    def __init__(
        self,
        store: StandInStore,
        ledger: Ledger,
        zones: tuple[str, ...],
        chance: random.Random,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._zones = zones
        self._random = chance
        self._numbers = count(1)
        self._beats: dict[str, asyncio.Task[None]] = {}
        self._sequences: dict[str, int] = {}
        self.live: dict[str, StandInReplica] = {}
        """Replicas that have not ended, by id."""
        self.ended_at: dict[str, float] = {}

    async def start(self, service: str, port: int = 0) -> StandInReplica:
        """Start a replica and let it announce itself."""
        number = next(self._numbers)
        replica_id = f"i-{service}-{number}"
        zone = self._zones[number % len(self._zones)]
        port = port or free_port(HOST)
        record = ReplicaRecord(replica_id, service, HOST, port, zone, SLOTS)
        behaviour = ReplicaBehaviour(random.Random(self._random.getrandbits(64)))
        replica = StandInReplica(record, behaviour, self._ledger.note_arrival, QUEUE_LENGTH)
        await replica.start(port)
        self.live[replica_id] = replica
        self._beats[replica_id] = asyncio.get_running_loop().create_task(self._keep_entry(replica))
        return replica

    def end(self, replica: StandInReplica) -> None:
        """End a replica without a word; its entry lapses."""
        replica_id = replica.record.replica_id
        if self.live.pop(replica_id, None) is None:
            return
        replica.end()
        self._beats.pop(replica_id).cancel()
        loop = asyncio.get_running_loop()
        self.ended_at[replica_id] = loop.time()
        loop.call_later(HEARTBEAT_SECONDS * LAPSE_BEATS, self._lapse, replica_id)

    def of_service(self, service: str) -> list[StandInReplica]:
        """Return the live replicas of a service."""
        return [item for item in self.live.values() if item.record.service == service]

    def some(self, share: float) -> list[StandInReplica]:
        """Return a share of the live replicas, at least one."""
        live = list(self.live.values())
        return self._random.sample(live, max(1, round(len(live) * share)))

    def write_all(self) -> None:
        """Let every replica write its entry now, and take entries of ended ones away."""
        for replica in self.live.values():
            self._write(replica)
        prefix = REPLICA_PREFIX
        for key in [key for key in self._store.contents.items if key.startswith(prefix)]:
            if key.removeprefix(prefix) not in self.live:
                self._store.remove(key)

    def close(self) -> None:
        """End all replicas."""
        for replica in list(self.live.values()):
            self.end(replica)

    async def _keep_entry(self, replica: StandInReplica) -> None:
        while True:
            self._write(replica)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _write(self, replica: StandInReplica) -> None:
        replica_id = replica.record.replica_id
        self._sequences[replica_id] = self._sequences.get(replica_id, 0) + 1
        value = replica_value(replica.record, self._sequences[replica_id])
        self._store.put(REPLICA_PREFIX + replica_id, value)

    def _lapse(self, replica_id: str) -> None:
        if replica_id not in self.live:
            self._store.remove(REPLICA_PREFIX + replica_id)
