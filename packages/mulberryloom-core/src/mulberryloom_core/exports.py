"""Lazy import of the names that a package exports.

A process that runs only jobs needs a small part of some packages; importing
all of them takes longer than the rest of its start.
"""

import importlib
import typing as t


def lazy(
    package: str, names_by_module: dict[str, tuple[str, ...]]
) -> t.Callable[[str], t.Any]:
    """Return a module-level ``__getattr__`` (:pep:`562`) for a package.

    :param package: name of the package.
    :param names_by_module: exported names, keyed by the relative name of
        the module that defines them, such as ``.writer``.
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def get_attribute(name: str) -> t.Any:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(
                f'module {package!r} has no attribute {name!r}'
            )
        return getattr(importlib.import_module(module, package), name)

    return get_attribute
