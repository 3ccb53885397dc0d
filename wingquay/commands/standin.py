"""``wingquay standin``: stand-ins for what surrounds the product, on real sockets."""

import asyncio
import random
import signal
import sys
from typing import Protocol

from ..adapters.settings import Endpoint, parse_endpoint
from ..model.identifiers import ReplicaId, ServiceName, ShardId, SnapshotVersion
from ..model.key_range import KeyRange
from ..simulation.models.backend_settings import BackendSettings
from ..simulation.models.dataset import DEFAULT_KEY_COUNT, Dataset
from ..simulation.models.service_time import ServiceTimeSettings
from ..simulation.models.store_model import StoreSettings
from ..standins.backend import BackendStandin
from ..standins.store import StoreStandin
from .exit_codes import OK, USAGE


class _Standin(Protocol):
    async def start(self, host: str, port: int) -> int: ...

    async def close(self) -> None: ...


class command:  # noqa: N801 - looked up by this name
    """Run a stand-in for a back end or for the platform's store, until interrupted.

    For tests and trials; never for production. POST /admin/... makes it drain, straggle, fail.
    """

    async def backend(  # noqa: PLR0913 - flags of the command line
        self,
        listen: str,
        service: str,
        shard: str,
        replica: str,
        start: str = "",
        end: str | None = None,
        slots: int = 5,
        connections: int = 70,
        median_seconds: float = 0.005,
        oldest: int = 1,
        newest: int = 1,
        keys: int = DEFAULT_KEY_COUNT,
        seed: int = 1,
    ) -> int:
        """Run one replica of one shard.

        Parameters
        ----------
        listen
            Address to listen on, such as 127.0.0.1:8000.
        service
            Name of the service.
        shard
            Id of the shard.
        replica
            Id of the replica.
        start
            First key that the shard holds.
        end
            First key beyond the shard; without it there is no upper bound.
        slots
            Requests worked on at a time.
        connections
            Connections held at a time.
        median_seconds
            Median service time.
        oldest
            Oldest index version held.
        newest
            Newest index version held.
        keys
            Number of keys in the whole data set (village-0000 and so on).
        seed
            Seed of service times and stragglers.
        """
        endpoint = _endpoint(listen)
        if endpoint is None:
            return USAGE
        settings = BackendSettings(
            replica_id=ReplicaId(replica),
            service=ServiceName(service),
            shard_id=ShardId(shard),
            key_range=KeyRange(start, end),
            slots=slots,
            connection_limit=connections,
            oldest_version=SnapshotVersion(oldest),
            newest_version=SnapshotVersion(newest),
            service_time=ServiceTimeSettings(median_seconds=median_seconds),
        )
        standin = BackendStandin(settings, random.Random(seed), Dataset(key_count=keys))
        return await _run(standin, endpoint, f"replica {replica} of {service}/{shard}")

    async def store(self, listen: str, seed: int = 1) -> int:
        """Run the key-value service (etcd's JSON gateway) and the list of machines.

        Parameters
        ----------
        listen
            Address to listen on, such as 127.0.0.1:2379.
        seed
            Seed of latencies.
        """
        endpoint = _endpoint(listen)
        if endpoint is None:
            return USAGE
        return await _run(StoreStandin(StoreSettings(), random.Random(seed)), endpoint, "store")


def _endpoint(text: str) -> Endpoint | None:
    try:
        return parse_endpoint(text)
    except ValueError:
        print(f"--listen: {text!r} is not allowed; must be such as 127.0.0.1:8000", file=sys.stderr)
        return None


async def _run(standin: _Standin, endpoint: Endpoint, name: str) -> int:
    """Serve until SIGTERM or SIGINT."""
    port = await standin.start(endpoint.host, endpoint.port)
    print(f"{name} listens on {endpoint.host}:{port}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await standin.close()
    return OK
