"""Errors that operators and other runners identify by their `kind`.

Guards against an error without its own kind, which would be reported under the kind of its base class or not at all,
and against two errors of one package with the same kind.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections import Counter
from collections.abc import Iterator

import moorusher
from moorusher.errors import OperatorError

# Kinds that errors of two packages share; each error has its own remedy.
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


def test_every_concrete_error_has_its_own_kind_and_base_classes_have_none() -> None:
    import_error_modules()
    error_types = list(subclasses(OperatorError))
    bases = [error_type for error_type in error_types if error_type.__subclasses__()]
    concrete = [error_type for error_type in error_types if not error_type.__subclasses__()]
    assert len(bases) == 4 and len(concrete) >= 33
    for base in bases:
        assert not hasattr(base, "kind"), base
    for error_type in concrete:
        assert isinstance(vars(error_type).get("kind"), str) and error_type.kind.isalpha(), error_type
        assert error_type.__name__.endswith("Error")
    by_package = Counter((error_type.__module__, error_type.kind) for error_type in concrete)
    assert set(by_package.values()) == {1}
    by_kind = Counter(error_type.kind for error_type in concrete)
    assert {kind for kind, count in by_kind.items() if count > 1} == SHARED_KINDS
    # Two packages have a NoMajorityError.
    assert len({error_type.__name__ for error_type in concrete}) == len(concrete) - 1
