"""
Plug-ins
~~~~~~~~

Imports the modules of a plug-in package, so that their classes register
themselves.
"""

import functools
import importlib
import pkgutil


@functools.cache
def import_plugins(package: str) -> tuple[str, ...]:
    """Import all modules of ``package`` once and return their names."""
    parent = importlib.import_module(package)
    names = tuple(
        f'{package}.{module.name}'
        for module in pkgutil.iter_modules(parent.__path__)
    )
    for name in names:
        importlib.import_module(name)
    return names
