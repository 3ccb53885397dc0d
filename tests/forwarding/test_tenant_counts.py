"""Counters by tenant stay few, whatever the configuration holds."""

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


def label(counts: TenantMetrics, tenant: str) -> str:
    """Return under which name a request is counted."""
    return dict(counts.count(tenant, "allowed").labels)["tenant"]


class TenantCountsTest(TestCase):
    def test_a_count_names_tenant_and_outcome(self) -> None:
        labels = (("tenant", NO_TENANT), ("outcome", "unproven"))
        self.assertEqual(
            Count("tenant_requests_total", labels=labels), TenantMetrics().count("", "unproven")
        )

    def test_a_busy_tenant_has_counters_of_its_own(self) -> None:
        counts = TenantMetrics()
        labels = [label(counts, "a") for _ in range(MIN_LABELLED_REQUESTS + 1)]
        self.assertEqual([OTHER] * (MIN_LABELLED_REQUESTS - 1) + ["a", "a"], labels)

    def test_no_more_names_than_that_are_ever_told(self) -> None:
        counts = TenantMetrics()
        for _ in range(MIN_LABELLED_REQUESTS + 1):
            labels = {label(counts, f"t{number}") for number in range(TENANTS)}
        self.assertEqual(MAX_LABELLED_TENANTS + 1, len(labels))
        counts.keep_only(set())
        for _ in range(MIN_LABELLED_REQUESTS + 1):
            self.assertEqual(OTHER, label(counts, "late"))

    def test_requests_of_tenants_that_are_gone_are_forgotten(self) -> None:
        counts = TenantMetrics()
        for _ in range(MIN_LABELLED_REQUESTS - 1):
            label(counts, "a")
        counts.keep_only({"b"})
        self.assertEqual((OTHER, {"a": 1}), (label(counts, "a"), counts._requests))
