"""No fault at any step violates a guarantee; docs/fault-matrix.md lists all of them."""

import pytest

from tests import matrix

CELLS = [(fault, step) for fault in matrix.FAULTS for step in matrix.STEPS]
IDS = [f"{fault.__name__}-{step.name.replace(' ', '_')}" for fault, step in CELLS]


@pytest.mark.parametrize(("fault", "step"), CELLS, ids=IDS)
def test_cell_violates_no_guarantee(fault, step):
    cell = matrix.run_cell(step, fault)
    assert cell.reached, "the step did not occur: the cell proves nothing"
    assert not cell.violations
    assert cell.acks > 0, "no write was acknowledged: the cell proves little"


def test_document_lists_every_fault_and_step():
    text = matrix.DOC.read_text()
    for fault in matrix.FAULTS:
        assert matrix.title(fault) in text
    for step in matrix.STEPS:
        assert step.name in text
