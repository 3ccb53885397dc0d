"""Settings of forwarding, each with its unit and default."""

from enum import Enum

from ..model.value import value


class ChoiceStrategy(Enum):
    """Strategy for comparing replicas."""

    PRODUCT = "product"
    """Lowest product of the expected latency and its correction factors."""
    COMPLETION = "completion"
    """Lowest expected time to completion, in seconds."""


@value
class ForwardingSettings:
    """Tunable parameters of forwarding.

    Parameters
    ----------
    zone
        The zone of this node.
    choice_strategy
        How the replicas of a service are compared.
    cold_overage, cold_slack
        A cold replica may get as many requests a second as its service states, times the first,
        plus the second, from all nodes together.
    retry_ratio
        Extra arrivals at a service for each request for it, of this node's own requests.
    retry_slack
        Extra arrivals at a service in a window that all nodes together may cause besides.
    retry_window_seconds
        Length of the window.
    max_nodes
        Nodes to reckon with while their number is not known.
    min_nodes
        Nodes to reckon with at least: some may have no key yet.
    node_count_memory_seconds
        How long a greater number of nodes is remembered.
    presence_delay_seconds
        Time after the start at which a node without a configuration writes its key.
    join_delay_seconds
        The same where routes are narrow: requests go first, and far shards wait for the link.
    join_wide_delay_seconds
        The same where a route is wide: by itself a node answers such requests too late anyway.
    join_seconds, join_poll_interval_seconds, join_idle_poll_interval_seconds
        Time after the link to other nodes opened in which their keys are looked for more often, and
        the least time between two looks in it, once requests arrive and before: nodes that start
        together have written their keys within 1.5 s, so an idle one looks once.
    presence_lease_seconds
        Time to live of the key's lease.
    presence_retry_seconds
        Pause after a call for the key failed.
    first_connections_seconds
        Time after the start in which a node opens one connection to each replica only: replicas
        may still count those of its last life.
    reply_margin_seconds, reply_margin_ratio, reply_margin_shard_seconds
        Time kept, besides the network's, for handing over an answer: a constant, a share of the
        route's objective, and a time for each shard whose answer is taken in and merged.
    timeout_margin_seconds
        How long before the end of a request's time it is given up on.
    hedge_quantile
        A second replica is asked once an attempt takes longer than this share of attempts.
    hedge_least_factor
        The least hedge delay in median latencies.
    hedge_initial_ratio
        The hedge delay of a route without measurements, as a share of its objective.
    hedge_max_ratio
        The greatest hedge delay, as a share of the route's objective.
    abandon_seconds
        How long an attempt that nobody waits for may still run before it is cancelled.
    connect_backoff_seconds, connect_backoff_max_seconds
        How long a replica that cannot be reached gets no work, at first and at most.
    unreachable_after_seconds
        Time without any answer after which a replica counts as out of reach.
    shed_backoff_seconds
        How long a replica that refused work for its load gets none.
    paused_trial_seconds, slow_trial_seconds
        Least time between two attempts of this node at replicas that were slow once, or again when
        they were tried.
    vanished_grace_seconds
        How long a replica whose record vanished may still get work when no other is left.
    vanished_outage_grace_seconds
        The same while the directory was just out of reach; always within the time after which a
        replica that is leaving must get nothing more.
    settle_seconds
        Time after the start, or after the store was last seen out of reach, in which records of
        replicas may still be missing: they are back 2 s after its return, which is noticed within
        another second.
    stale_record_seconds
        Time for which the store is looked at more often once a replica has shown that its record
        is old: new ones may be there already.
    settle_poll_interval_seconds
        Least time between two looks at the store while records are missing.
    delegate_min_shards
        Shards of a route from which on other nodes are asked for most of them: below, a node
        codes its requests sooner than it would hear from the others.
    delegate_min_nodes
        Nodes of a group, this one included, from which on it is worth it.
    poll_rank_delay_seconds
        Time by which each node of those that tell each other what they read of the store waits
        longer than the one before it, so that usually one of them looks.
    max_update_age_seconds
        Time that news may have taken on their way, as far as it is known; older ones put no look
        off.
    update_group_min_nodes, update_max_recipients
        Nodes of a group from which on it keeps to itself; how many nodes are told at most.
    zones
        All zones of the deployment, as far as they are known.
    processor
        How fast this node computes, in whole cores.
    relay_min_shards
        Shards without a replica in this node's zone from which on a node of another zone is asked
        for them: it is nearer to their replicas, and one merged answer crosses between the zones.
    delegate_return_seconds
        Time kept for the reports of nodes to come back and be merged.
    delegate_report_ratio
        Share of the time for a report after which what is in is told, even if more may come: if
        every node told all it has at the last moment, the asking one would take too long to read.
    delegate_takeover_ratio
        Share of the objective after which the shards of a node that has not said anything are
        asked directly.
    delegate_takeover_factor, delegate_takeover_max_ratio
        The same in times that nodes usually take to say that they are there, where that is longer,
        up to a share of the objective.
    node_suspect_seconds, node_suspect_max_seconds
        How long a node that did not report is passed over, at first and at most.
    node_absent_seconds
        The same at first for one whose link did not come up: when all start together, the next
        one listens a few tenths of a second later.
    idle_close_seconds
        Time after a stop was asked for until idle connections are closed.
    most_stop_seconds
        Time after a stop was asked for at which the node ends in any case.
    leaves_when_cut_off
        Whether a node that has lost all other zones leaves callers to those where that helps them.
    """

    zone: str
    choice_strategy: ChoiceStrategy = ChoiceStrategy.COMPLETION
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    retry_ratio: float = 0.18
    retry_slack: float = 56.0
    retry_window_seconds: float = 10.0
    max_nodes: int = 12
    min_nodes: int = 6
    node_count_memory_seconds: float = 30.0
    presence_delay_seconds: float = 2.0
    join_delay_seconds: float = 0.6
    join_wide_delay_seconds: float = 0.02
    join_seconds: float = 2.5
    join_poll_interval_seconds: float = 0.8
    join_idle_poll_interval_seconds: float = 1.6
    presence_lease_seconds: float = 36.0
    presence_retry_seconds: float = 2.0
    first_connections_seconds: float = 5.0
    reply_margin_seconds: float = 0.003
    reply_margin_ratio: float = 0.03
    reply_margin_shard_seconds: float = 0.00005
    timeout_margin_seconds: float = 0.02
    hedge_quantile: float = 0.9
    hedge_min_factor: float = 1.3
    hedge_initial_ratio: float = 0.3
    hedge_max_ratio: float = 0.45
    abandon_seconds: float = 0.25
    connect_backoff_seconds: float = 0.3
    connect_backoff_max_seconds: float = 2.0
    unreachable_after_seconds: float = 0.3
    shed_backoff_seconds: float = 0.05
    paused_trial_seconds: float = 0.1
    slow_trial_seconds: float = 1.0
    vanished_grace_seconds: float = 1.0
    vanished_outage_grace_seconds: float = 2.5
    settle_seconds: float = 3.3
    stale_record_seconds: float = 0.6
    settle_poll_interval_seconds: float = 0.3
    delegate_min_shards: int = 40
    delegate_min_nodes: int = 3
    poll_rank_delay_seconds: float = 0.04
    max_update_age_seconds: float = 0.3
    update_group_min_nodes: int = 5
    update_max_recipients: int = 12
    zones: tuple[str, ...] = ()
    processor: float = 1.0
    relay_min_shards: int = 4
    delegate_return_seconds: float = 0.008
    delegate_report_ratio: float = 0.7
    delegate_takeover_ratio: float = 0.45
    delegate_takeover_factor: float = 3.0
    delegate_takeover_max_ratio: float = 0.7
    node_suspect_seconds: float = 1.0
    node_suspect_max_seconds: float = 8.0
    node_absent_seconds: float = 0.2
    idle_close_seconds: float = 3.0
    max_stop_seconds: float = 5.2
    leaves_when_cut_off: bool = True
