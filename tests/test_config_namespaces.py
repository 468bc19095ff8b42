"""Section `[namespaces]`: customers' grants are disjoint and within the platform's resources; errors name the key."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.config.namespaces import NamespacesConfig, read_namespaces
from moorusher.config.section import ConfigError, Section
from moorusher.namespaces.policy import Budget, Grant

SERVERS = {"a1", "a2", "b1", "p1", "free"}
ACME = {"name": "acme", "servers": ["a1", "a2"], "pools": {"shared": 0.5}}
BOLT = {"name": "bolt", "servers": ["b1"], "pools": {"shared": 0.5}}
SHARED = {"name": "shared", "servers": ["p1"], "limit": 10}


def read(
    changes: dict[str, Any], duties: bool = True, state_bytes: int = 1 << 18, servers: set[str] = SERVERS
) -> NamespacesConfig:
    section = Section({"on": True, "customer": [ACME, BOLT], "pool": [SHARED]} | changes, "namespaces")
    return read_namespaces(section, servers, duties, state_bytes)


def test_each_customer_has_its_own_servers_quotas_and_budget() -> None:
    config = read({"rules": 50, "customer": [ACME | {"rules": 70, "keep": 3}, BOLT]})
    assert config.customers["acme"].grant == Grant(
        frozenset({"a1", "a2"}), {"shared": 0.5}, Budget(max_rules=70)
    )
    assert (
        config.customers["acme"].publishing_limits.max_revisions == 3
        and config.customers["bolt"].publishing_limits.max_revisions == 8
    )
    assert config.customers["bolt"].grant.budget.max_rules == 50
    assert (
        config.grants.pool_quota("acme", "shared") == 5 and config.grants.pool_quota("nobody", "shared") == 0
    )
    assert config.grants.reserved_servers() == SERVERS - {"free"}


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"customer": [ACME, BOLT | {"servers": ["a1"]}]}, "'a1' is granted to acme and to bolt"),
        ({"pool": [SHARED | {"servers": ["a1"]}]}, "'a1' is acme's own"),
        ({"customer": [ACME, BOLT | {"pools": {"shared": 0.6}}]}, r"shares of shared come to 1\.1"),
        ({"customer": [ACME | {"pools": {"other": 0.5}}]}, r"customer\[0\]\.pools\.other: no such pool"),
        ({"customer": [ACME | {"servers": ["zz"]}]}, r"customer\[0\]\.servers: no such server"),
        ({"customer": [ACME, ACME]}, r"customer\[1\]\.name"),
        ({"customer": [ACME | {"name": "a b"}]}, r"customer\[0\]"),
        ({"customer": [ACME | {"odd": 1}]}, r"customer\[0\]\.odd"),
        ({"rules": 0}, r"namespaces\.rules"),
        ({"memory_mb": 16.0}, "2 customers may take 16 MB together, and 16 are set"),
        ({"bytes": 262_000}, "expected 4096 less than duties.state_bytes"),
        ({"pool": [SHARED | {"servers": ["p1", "free"]}]}, "none is left for who has no rules"),
    ],
)
def test_errors_name_the_key(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(ConfigError, match=text):
        read(changes)


def test_namespaces_need_duties_and_servers() -> None:
    with pytest.raises(ConfigError, match=r"set duties\.on"):
        read({}, duties=False)
    with pytest.raises(ConfigError, match=r"set tier\.server"):
        read({"customer": [], "pool": []}, servers=set())
    assert not read({"on": False}, duties=False).on
