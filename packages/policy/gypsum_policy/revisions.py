"""Revisions of the store, ordered over its returns from older copies.

Load pattern: the store is away for a moment and returns from a copy that is some
seconds old. It gives out again the revisions that it has lost, to other changes. Some
daemons learn of it seconds before others, and news of both histories are on their way.

The store names the era of its history in each answer. A revision is one whole number
with the era in its upper bits, so that every revision of a later era is above all those
of an earlier one, and comparisons need not know of eras. Without eras it is the store's
own number.
"""

# Take-overs of a group in one era that have tokens of their own: one a second for
# twelve days.
TOKEN_BITS = 20
# A thousand changes a second use these bits up in 34 years. JSON's numbers are exact up
# to 53 bits, which leaves 13 for eras.
NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# Messages between daemons carry signed integers of 64 bits.
MAX_ERA = (1 << (63 - NUMBER_BITS)) - 1


def make_revision(era, number):
    """The revision that the store calls by a number in an era."""
    return era << NUMBER_BITS | number


def era_of(revision):
    """The era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision):
    """What the store calls a revision."""
    return revision & MAX_NUMBER


def same_era(revision, other):
    """Tell whether two revisions belong to one history."""
    return era_of(revision) == era_of(other)


def next_token(last, era):
    """The fencing token that follows on the last one known, in an era.

    The store may have lost the lease with the newest token, whose holder may still use
    it, so that tokens of a later era are above all those of an earlier one.
    """
    return max(last + 1, era << TOKEN_BITS)


def format_revision(revision):
    """A revision as logs show it: `era/number`, or the number where there is no era."""
    era, number = era_of(revision), number_of(revision)
    return f"{era}/{number}" if era else number
