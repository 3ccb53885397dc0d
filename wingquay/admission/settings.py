"""Settings of admission, hedging and retries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """How an owner queues, refuses, hedges and retries.

    Parameters
    ----------
    hedge_quantile
        Quantile of recent service times after which a second replica is asked, 0.5 to 0.9999.
        Default 0.975.
    hedge_least_factor
        A hedge leaves no sooner than after this many times the median service time, 1 to 100:
        it is meant for the far slower, and the budget is not spent on the merely slow. Default
        2.
    hedge_budget_ratio
        Hedges allowed for each first attempt of a class, 0 to 1. Default 0.03.
    hedge_budget_burst
        Hedges of a class that may leave at once, 1 to 1000. Default 10.
    hedge_fewest_samples
        Service times of a kind that must be known before their quantile is used. Default 50.
    hedge_initial_factor
        Until then, hedges leave after this many times the expected service time, 1 to 100.
        Default 5.
    most_hedges
        Hedges of one sub-request, 0 to 5. Default 2.
    retry_budget_ratio
        Retries allowed for each first attempt of a service, 0 to 1. Default 0.1.
    retry_budget_burst
        Retries of a service that may leave at once, 1 to 1000. Default 20.
    most_retries
        Retries of one sub-request, 0 to 10. Default 3.
    latency_period_seconds
        Length of the window that quantiles are taken over. Default 5.
    initial_service_seconds
        Service time assumed of a kind before any is known. Default 0.005.
    owner_heartbeat_seconds
        Longest silence towards a node that waits for results, so that it can tell a slow replica
        from a lost owner. Default 0.02.
    """

    hedge_quantile: float = 0.975
    hedge_least_factor: float = 2.0
    hedge_budget_ratio: float = 0.03
    hedge_budget_burst: float = 10.0
    hedge_fewest_samples: int = 50
    hedge_initial_factor: float = 5.0
    most_hedges: int = 2
    retry_budget_ratio: float = 0.1
    retry_budget_burst: float = 20.0
    most_retries: int = 3
    latency_period_seconds: float = 5.0
    initial_service_seconds: float = 0.005
    owner_heartbeat_seconds: float = 0.02
