"""The policy modules import no I/O, clocks, event loops or randomness."""

from pathlib import Path

import gypsum_policy
from tests.test_core_imports import FORBIDDEN, imported_names


def test_policy_modules_import_nothing_impure():
    folder = Path(gypsum_policy.__file__).parent
    for path in folder.glob("**/*.py"):
        for module, _ in imported_names(path):
            assert module not in FORBIDDEN | {"random"}, f"{path.name}: {module}"
