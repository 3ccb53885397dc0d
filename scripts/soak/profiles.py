"""Kinds of deployments that a soak plays: their bounds, sizes and callers."""

import random

import attrs

from .settings import Bounds, SoakSettings


@attrs.frozen
class Profile:
    """Ranges from which the seed of a run draws a deployment.

    Parameters
    ----------
    bounds
        What the platform promises; the slack of the retry budget is drawn.
    retry_slack
        Least and greatest slack of the retry budget.
    nodes, zones, shards
        Least and greatest numbers.
    single_replicas
        Replicas of each service with one replica a request, least and most.
    deadline_factor
        By how much the deadlines and time limits of requests are longer, least and most.
    clients_per_node
        Clients for each node.
    revocation_seconds
        Bounds for keys that were taken away, one of which is drawn; ``None``: none is stated.
    """

    bounds: Bounds
    retry_slack: tuple[float, float]
    nodes: tuple[int, int]
    zones: tuple[int, int]
    shards: tuple[int, int]
    single_replicas: tuple[int, int]
    deadline_factor: tuple[float, float]
    clients_per_node: int
    revocation_seconds: tuple[float | None, ...] = (None, 4.0, 5.0)

    def draw(self, settings: SoakSettings, name: str, nodes: int | None = None) -> SoakSettings:
        """Return the settings of a run, drawn by its seed.

        Parameters
        ----------
        nodes
            Number of nodes in place of a drawn one.
        """
        chance = random.Random(f"profile/{name}/{settings.seed}")
        drawn_nodes = chance.randint(*self.nodes)
        bounds = attrs.evolve(
            self.bounds,
            retry_slack=float(round(chance.uniform(*self.retry_slack))),
            revocation_seconds=chance.choice(self.revocation_seconds),
        )
        node_count = nodes or drawn_nodes
        return attrs.evolve(
            settings,
            profile=name,
            nodes=node_count,
            zones=min(chance.randint(*self.zones), node_count),
            shards=chance.randint(*self.shards),
            single_replicas=chance.randint(*self.single_replicas),
            deadline_factor=round(chance.uniform(*self.deadline_factor), 2),
            clients=node_count * self.clients_per_node,
            fault_gap_seconds=chance.choice(FAULT_GAPS_SECONDS),
            bounds=bounds,
        )


PROFILES = {
    "small": Profile(
        Bounds(contact_seconds=4.0, drain_seconds=3.0, configuration_seconds=3.0),
        retry_slack=(54.0, 56.0),
        nodes=(7, 8),
        zones=(3, 4),
        shards=(4, 12),
        single_replicas=(4, 10),
        deadline_factor=(1.0, 1.6),
        clients_per_node=8,
    ),
    "grown": Profile(
        Bounds(contact_seconds=5.0, drain_seconds=5.0, configuration_seconds=5.0),
        retry_slack=(160.0, 214.0),
        nodes=(4, 16),
        zones=(1, 5),
        shards=(4, 45),
        single_replicas=(4, 12),
        deadline_factor=(0.8, 2.0),
        clients_per_node=8,
    ),
    "large": Profile(
        Bounds(contact_seconds=6.0, drain_seconds=6.0, configuration_seconds=6.0),
        retry_slack=(430.0, 430.0),
        nodes=(40, 110),
        zones=(6, 6),
        shards=(12, 45),
        single_replicas=(10, 24),
        deadline_factor=(1.0, 1.6),
        clients_per_node=1,
    ),
}
"""Deployments by name. Bounds, zones and budgets are those of the platform's deployments of that
size; ``large`` has as many processes as one machine bears."""
FAULT_GAPS_SECONDS = (0.7, 1.0, 2.5, 6.0)
"""Mean times between faults. With long ones nodes are undisturbed for long enough to be held to
the bounds on time; with short ones faults overlap."""
DRAWN = ("small", "grown", "grown")
"""Profiles from which a run without a chosen one draws."""


def draw_profile(seed: int) -> str:
    """Return the profile of a run for which none is chosen."""
    return random.Random(f"profile/{seed}").choice(DRAWN)
