"""Which configuration decides whether a key is valid, in every order of versions."""

import pytest

from gypsum_policy.credentials import ANONYMOUS, Credential, is_credential_valid

KEY = Credential(workspace="north", digest="d", version=7)


@pytest.mark.parametrize(
    ("version", "holder", "expected"),
    [
        (7, "north", True),
        (7, None, False),
        (6, None, True),
        (6, "south", True),
        (8, "north", True),
        (8, None, False),
        (8, "south", False),
    ],
)
def test_the_newer_configuration_decides(version, holder, expected):
    assert is_credential_valid(KEY, version=version, holder=holder) is expected


def test_an_anonymous_credential_stays_valid():
    assert is_credential_valid(ANONYMOUS, version=9, holder=None)
