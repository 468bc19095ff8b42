"""Errors that operators and other runners see by their `kind`.

Guards against an error without a kind of its own, which would be told under the kind of its base or not at all, and
against two errors of one package that can't be told apart.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections import Counter
from collections.abc import Iterator

import moorusher
from moorusher.errors import OperatorError

# Kinds that two packages have an error of, each with its own remedy.
SHARED_KINDS = {"Conflict", "OverBudget", "NoMajority"}


def import_error_modules() -> None:
    for module in pkgutil.walk_packages(moorusher.__path__, "moorusher."):
        if module.name.endswith(".errors"):
            importlib.import_module(module.name)


def subclasses(base: type[OperatorError]) -> Iterator[type[OperatorError]]:
    for error_type in base.__subclasses__():
        if error_type.__module__.startswith("moorusher."):
            yield error_type
        yield from subclasses(error_type)


def test_every_error_has_a_kind_of_its_own_and_bases_have_none() -> None:
    import_error_modules()
    error_types = list(subclasses(OperatorError))
    bases = [error_type for error_type in error_types if error_type.__subclasses__()]
    raised = [error_type for error_type in error_types if not error_type.__subclasses__()]
    assert len(bases) == 4 and len(raised) >= 33
    for base in bases:
        assert not hasattr(base, "kind"), base
    for error_type in raised:
        assert isinstance(vars(error_type).get("kind"), str) and error_type.kind.isalpha(), error_type
        assert error_type.__name__.endswith("Error")
    by_package = Counter((error_type.__module__, error_type.kind) for error_type in raised)
    assert set(by_package.values()) == {1}
    by_kind = Counter(error_type.kind for error_type in raised)
    assert {kind for kind, number in by_kind.items() if number > 1} == SHARED_KINDS
    assert len({error_type.__name__ for error_type in raised}) == len(raised) - 1  # NoMajorityError is two
