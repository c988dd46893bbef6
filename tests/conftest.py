"""Fixtures that several test modules share."""

import pytest

from tests.cluster import Cluster


@pytest.fixture(scope="module")
def cluster():
    """A cluster of processes that the tests of a module share."""
    with Cluster() as started:
        yield started
