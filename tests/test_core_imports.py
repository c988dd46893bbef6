"""The decision logic uses no I/O, clocks, event loops or global randomness."""

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
ALLOWED_NAMES = {"random": {"Random"}}


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
            if module in ALLOWED_NAMES:
                # Only the type; the generator itself is passed in.
                assert name in ALLOWED_NAMES[module], (
                    f"{path.name} uses {module}.{name}"
                )
