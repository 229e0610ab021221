"""Names of a package that are imported only when somebody asks for them.

A process of the job path needs a small part of some packages; importing
all of it takes longer than the whole rest of its start.
"""

import importlib
import typing as t


def lazy(
    package: str, names_by_module: dict[str, tuple[str, ...]]
) -> t.Callable[[str], t.Any]:
    """Return a module-level ``__getattr__``.

    :param package: name of the package.
    :param names_by_module: exported names by the module, relative to the
        package, that defines them.
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def get_attribute(name: str) -> t.Any:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f'{package} has no attribute {name!r}')
        return getattr(importlib.import_module(module, package), name)

    return get_attribute
