"""The number of counters by tenant is bounded for any configuration."""

from testtools import TestCase

from wingquay.forwarding.arrival.tenant_metrics import (
    MAX_LABELLED_TENANTS,
    MIN_LABELLED_REQUESTS,
    NO_TENANT,
    OTHER,
    TenantMetrics,
)
from wingquay.ports.machine import Count

TENANTS = 10_000


def label(metrics: TenantMetrics, tenant: str) -> str:
    """Return the label under which a request is counted."""
    return dict(metrics.count(tenant, "allowed").labels)["tenant"]


class TenantMetricsTest(TestCase):
    def test_a_count_is_labelled_with_tenant_and_outcome(self) -> None:
        labels = (("tenant", NO_TENANT), ("outcome", "unproven"))
        self.assertEqual(
            Count("tenant_requests_total", labels=labels), TenantMetrics().count("", "unproven")
        )

    def test_a_busy_tenant_receives_its_own_label(self) -> None:
        metrics = TenantMetrics()
        labels = [label(metrics, "a") for _ in range(MIN_LABELLED_REQUESTS + 1)]
        self.assertEqual([OTHER] * (MIN_LABELLED_REQUESTS - 1) + ["a", "a"], labels)

    def test_the_number_of_labels_is_bounded(self) -> None:
        metrics = TenantMetrics()
        for _ in range(MIN_LABELLED_REQUESTS + 1):
            labels = {label(metrics, f"t{number}") for number in range(TENANTS)}
        self.assertEqual(MAX_LABELLED_TENANTS + 1, len(labels))
        metrics.keep_only(set())
        for _ in range(MIN_LABELLED_REQUESTS + 1):
            self.assertEqual(OTHER, label(metrics, "late"))

    def test_counts_of_removed_tenants_are_dropped(self) -> None:
        metrics = TenantMetrics()
        for _ in range(MIN_LABELLED_REQUESTS - 1):
            label(metrics, "a")
        metrics.keep_only({"b"})
        self.assertEqual((OTHER, {"a": 1}), (label(metrics, "a"), metrics._requests))
