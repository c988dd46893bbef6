"""Which daemons watch the store, which follow them, and when a follower is current.

Load pattern: a store that takes some hundred calls a second, and counts a watch that
waits as one. If every daemon watches, calls grow with the fleet: 91 daemons made 5,900
in a minute. A few watchers in each failure domain pass on what they learn; the others
ask the store themselves only while no watcher is in touch with it, or while they are
behind. Whoever does not reach the store follows a daemon that does.
"""

from gypsum_policy.revisions import same_era

# Watchers in each failure domain: the loss of one leaves one near.
WATCHERS_PER_DOMAIN = 2
# Up to this many daemons all watch: a dozen cost less than what a hop adds in delay.
ALL_WATCH_UP_TO = 12
# A watcher says this often that it is in touch with the store, seconds.
HEARTBEAT_INTERVAL = 0.4
# A watcher that has said nothing for this long is left for another: three beats lost.
WATCHER_TIMEOUT = 1.3
# A watcher that has spoken and is not in touch with the store is left after this, and
# not followed again for a while, seconds: one beat lost, and the time in which the
# other watchers have been asked.
DISCONNECTED_WATCHER_TIMEOUT = 0.6
WATCHER_RETRY_AFTER = 3.0
# Changes larger than this are not passed on, but told of, bytes: on a link of 5 Mbit/s
# a watcher would take a second to pass them to all its followers. These ask for the
# whole list, packed and in pieces, and the store if it does not come soon.
MAX_CHANGE_BYTES = 32 << 10
# A piece takes a link of 5 Mbit/s 13 ms, which is what a statement on the same link
# waits; the next one is sent once no more than this waits to be sent.
PIECE_BYTES = 8 << 10
BACKLOG_POLL_INTERVAL = 0.01
# A follower that is behind asks the store if its watcher's list has not come within
# this, seconds: a dozen lists of 1,600 routes take a watcher's link of 5 Mbit/s a third
# of it, and the users' bound on a change leaves four times as much.
LIST_TIMEOUT = 1.0
# A whole list that was asked for and has not come is asked for again after this,
# seconds: in pieces a configuration of 1,600 routes takes a tenth of it.
LIST_RETRY_AFTER = 2.0
# A follower asks a store that does not answer no more often than this, seconds, and
# looks this often whether a watcher is in touch again.
FOLLOWER_RETRY_INTERVAL = 4.0
WATCHER_POLL_INTERVAL = 0.25
# A daemon that is to follow and was just answered by the store waits this long for a
# watcher before it asks the store again, seconds: it finds one within two looks.
WATCHER_SEARCH_TIMEOUT = 1.0
# Changes that come this soon after others are a swarm, seconds, and its next ones are
# gathered for as long: 195 daemons that start within a second make 9,300 calls if each
# entry is fetched alone, 1,080 with both waits (two seconds of virtual time). A change
# that comes alone is taken in at once.
BURST_WINDOW = 0.2


def watcher_count(daemons, domains, all_up_to=ALL_WATCH_UP_TO):
    """How many of the daemons watch the store; up to `all_up_to` all do."""
    if daemons <= all_up_to:
        return daemons
    return min(daemons, WATCHERS_PER_DOMAIN * domains)


def batch_delay(since_last):
    """Seconds for which further changes are gathered before the store is asked again.

    `since_last` is the time from the answer with changes before this one to this one.
    """
    return BURST_WINDOW if since_last < BURST_WINDOW else 0.0


def is_current(known, since):
    """Tell whether who knows a feed up to `known` has all of a watcher's changes.

    `since` is the revision of the watcher's last change. What goes wrong with the
    revision that the watcher knows the feed up to: a follower that missed a change is
    below it, and so is one that missed none; with "at least as much as I know" the
    first rests on what it has, with "the same" the second asks the store for ever.
    """
    return known >= since


def is_contiguous(known, since, revision):
    """Tell whether changes between two revisions follow on what is known.

    What goes wrong without it: the changes before `since` are missing for as long as
    the process runs, since it takes itself for caught up to `revision`. Nothing follows
    on what is known of an earlier era: what the store lost is in no change.
    """
    return same_era(known, revision) and since <= known < revision
