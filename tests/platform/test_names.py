"""The platform's names are used in its folder only."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NAMES = re.compile(
    r"SYNCTO|maxStalenessMs|X-Fencing-Token|X-Lease-Holder|storeRevision|configVersion"
    r"|databaseName|STEPDOWN|DATAROW|CONNLIMIT|INDOUBT|MISROUTED|UNKNOWNDB|READONLY"
    r"|routeType|txIdleMs|AUTHFAIL|apiKeys|ratePerS|syncReplicas|/failover|/api/objects|listenAddrs|waitMs"
)


def test_no_platform_name_is_used_outside_its_folder():
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in sorted((ROOT / "packages").rglob("*.py"))
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_folder_does_not_shadow_the_standard_library():
    folder = ROOT / "platform"
    assert not (folder / "__init__.py").exists()
    assert not list(folder.glob("*.py"))
