"""Store revisions that stay ordered when the store is restored from an older copy.

Load pattern: the store is unavailable for a moment and returns with a copy that is some
seconds old. It assigns the revisions that it lost again, to other changes. Some daemons
learn of the restore seconds before others, and updates of both histories are in flight.

The store names the era of its history in each answer. A revision is one integer with
the era in its upper bits, so that every revision of a later era is greater than all
those of an earlier one and comparisons need not handle eras. Without eras it is the
store's own number.
"""

# Fencing tokens per group and era: enough for one takeover per second for twelve days.
TOKEN_BITS = 20
# A thousand changes per second use these bits up in 34 years. JSON numbers are exact up
# to 53 bits, which leaves 13 for eras.
NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# Messages between daemons carry signed 64-bit integers.
MAX_ERA = (1 << (63 - NUMBER_BITS)) - 1


def make_revision(era, number):
    """The revision for the store's own number in an era."""
    return era << NUMBER_BITS | number


def era_of(revision):
    """The era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision):
    """The store's own number of a revision."""
    return revision & MAX_NUMBER


def same_era(revision, other):
    """Whether two revisions belong to the same history of the store."""
    return era_of(revision) == era_of(other)


def next_token(last, era):
    """The fencing token that follows on the last known one, in an era.

    The store may have lost the lease with the newest token while its holder still uses
    it, so tokens of a later era are greater than all those of an earlier one.
    """
    return max(last + 1, era << TOKEN_BITS)


def format_revision(revision):
    """A revision as logged: `era/number`, or just the number where there is no era."""
    era, number = era_of(revision), number_of(revision)
    return f"{era}/{number}" if era else number
