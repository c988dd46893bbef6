"""Which of two updates of an upstream's entry is the newer one.

Load pattern: while upstreams are replaced, a daemon learns of their entries by a watch,
by another daemon's relay and by the whole list that each takeover reads, in any order;
a slow store answers a list seconds after a watch has delivered what changed since.
Revisions contain the store's era, so entries from before a restore are older than all
from after it.
"""

# Revision of an update that does not come from the store's list, such as a record of
# members that another daemon has written. It is never refused as older.
UNKNOWN = 0


def is_outdated(changed, *, shown_at, known, listed_up_to):
    """Whether an entry is older than what is known of its upstream.

    `changed` is the revision of the entry's last change, and `shown_at` the store's
    revision at which it was still there: that of a list, or of the change itself.
    `known` is the revision of the entry known now, None if there is none or it has been
    removed. All that has happened up to revision `listed_up_to` is known, so an entry
    that is not known and was last there before then has been removed.
    """
    if UNKNOWN in (changed, shown_at):
        return False
    return shown_at < listed_up_to if known is None else changed < known


def is_outdated_list(revision, *, listed_up_to):
    """Whether a list is older than what is known, so that it shows no removals."""
    return revision != UNKNOWN and revision < listed_up_to


def is_outdated_removal(revision, *, known):
    """Whether the removal of an entry is older than the entry known now.

    `revision` is that of the removal or of a list that lacks the entry.
    """
    return revision != UNKNOWN and revision < known
