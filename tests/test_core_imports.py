"""The decision logic stays free of I/O, clocks, loops and hidden randomness."""

import ast
from pathlib import Path

import gypsum_core

FORBIDDEN = {
    "asyncio",
    "datetime",
    "os",
    "secrets",
    "select",
    "selectors",
    "socket",
    "subprocess",
    "threading",
    "time",
    "tornado",
    "websockets",
}
HANDED_IN = {"random": {"Random"}}


def imported_names(path):
    """Yield (module, name) for every import in a file."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name.split(".")[0], ""
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module.split(".")[0], alias.name


def test_core_imports_nothing_that_does_io():
    folder = Path(gypsum_core.__file__).parent
    for path in folder.glob("*.py"):
        for module, name in imported_names(path):
            assert module not in FORBIDDEN, f"{path.name} imports {module}"
            if module in HANDED_IN:
                # The type only: the generator itself is handed in.
                assert name in HANDED_IN[module], f"{path.name} uses {module}.{name}"
