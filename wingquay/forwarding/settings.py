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
        Strategy for comparing the replicas of a service.
    cold_overage, cold_slack
        Limit of the requests per second that a cold replica may receive from all nodes: the rate
        that its service states, times ``cold_overage``, plus ``cold_slack``.
    retry_ratio
        Extra requests (retries and hedges) to a service per request of this node for it.
    retry_slack
        Further extra requests to a service that all nodes together may send per window.
    retry_window_seconds
        Length of the window of ``retry_slack``.
    max_nodes
        Assumed number of nodes while the actual number is unknown.
    min_nodes
        Minimum assumed number of nodes, as some may not have written their key yet.
    node_count_memory_seconds
        Time for which a higher number of nodes is still used after it has fallen.
    presence_delay_seconds
        Time after the start at which a node without a configuration writes its key.
    join_delay_seconds
        Time after the start at which a node writes its key if no route has enough shards for
        delegating them.
    join_wide_delay_seconds
        The same if a route has enough shards, as it needs other nodes to be answered in time.
    join_seconds
        Time after the links to other nodes have opened in which the store is polled more often for
        their keys.
    join_poll_interval_seconds, join_idle_poll_interval_seconds
        Minimum time between two polls during ``join_seconds``, after and before the first request.
    presence_lease_seconds
        Time to live of the lease of the node's key.
    presence_retry_seconds
        Pause after a failed store request for the node's key.
    first_connections_seconds
        Time after the start in which a node opens only one connection to each replica, as replicas
        may still count the connections of its previous incarnation.
    reply_margin_seconds, reply_margin_ratio, reply_margin_shard_seconds
        Time reserved before the objective for sending an answer, in addition to the network time: a
        constant, a share of the objective, and a time for each shard.
    timeout_margin_seconds
        Time before the deadline of a request at which its exchange times out.
    hedge_quantile
        Quantile of the latencies of a route after which an attempt is hedged.
    hedge_min_factor
        Minimum hedge delay, as a multiple of the median latency.
    hedge_initial_ratio
        Hedge delay of a route without measurements, as a share of its objective.
    hedge_max_ratio
        Maximum hedge delay, as a share of the route's objective.
    abandon_seconds
        Time for which an attempt whose answer is no longer needed may run before it is cancelled.
    connect_backoff_seconds, connect_backoff_max_seconds
        First and maximum time for which an unreachable replica receives no requests.
    unreachable_after_seconds
        Time without any answer after which a replica counts as unreachable.
    shed_backoff_seconds
        Time for which a replica that shed a request receives none.
    paused_trial_seconds, slow_trial_seconds
        Minimum time between two trials of this node at replicas after their first slow attempt, and
        after a slow trial.
    vanished_grace_seconds
        Time for which a replica whose record has vanished may receive requests if no other is left.
    vanished_outage_grace_seconds
        The same after an outage of the store; shorter than the time after which a leaving replica
        must receive no more requests.
    settle_seconds
        Time after the start or after an outage of the store in which records of replicas may still
        be missing.
    stale_record_seconds
        Time for which the store is polled more often after a replica has shown that its record is
        stale.
    settle_poll_interval_seconds
        Minimum time between two polls of the store while records are missing.
    delegate_min_shards
        Minimum number of shards of a route for delegating shards to other nodes; below it, sending
        all requests directly is faster.
    delegate_min_nodes
        Minimum number of nodes in a group, including this one, for delegating shards.
    poll_rank_delay_seconds
        Delay of a poll per position among the nodes that send each other store updates, so that
        usually only one of them polls.
    update_group_min_nodes
        Minimum number of nodes in a group for sending store updates only within the group.
    update_max_recipients
        Maximum number of nodes that receive store updates.
    zones
        All known zones of the deployment.
    processor
        Computing speed of this node in whole processor cores.
    relay_min_shards
        Minimum number of shards without a replica in this zone for delegating them to a node of
        another zone, so that one merged answer crosses between the zones.
    delegate_return_seconds
        Time reserved for the reports of delegates to arrive and be merged.
    delegate_report_ratio
        Share of the time for a report after which a delegate reports the answers so far, so that
        not all reports arrive at the last moment.
    delegate_takeover_ratio
        Share of the objective after which the shards of a delegate that has not replied are sent
        directly.
    delegate_takeover_factor, delegate_takeover_max_ratio
        Alternative takeover timeout as a multiple of the typical time until delegates acknowledge,
        used if it is longer; limited to a share of the objective.
    node_suspect_seconds, node_suspect_max_seconds
        First and maximum time for which a node that did not report gets no delegations.
    node_absent_seconds
        First such time for a node whose link could not be opened, which may just be starting.
    idle_close_seconds
        Time after a stop request until idle connections are closed.
    max_stop_seconds
        Time after a stop request until the node exits in any case.
    leaves_when_cut_off
        Whether a node that is cut off from all other zones stops taking callers if the other zones
        can serve them better.
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
