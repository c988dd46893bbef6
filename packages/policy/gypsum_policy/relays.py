"""Which daemons watch the store, which follow them, and when a follower is up to date.

Load pattern: a store that handles a few hundred calls per second and counts a pending
watch as one. If every daemon watches, calls grow with the fleet: 91 daemons made 5,900
in a minute. A few watchers in each failure domain therefore pass changes on; the other
daemons only call the store while no watcher is in touch with it or while they are
behind. A daemon that can't reach the store follows one that can.
"""

from gypsum_policy.revisions import same_era

# Watchers per failure domain: one near watcher remains when one is lost.
WATCHERS_PER_DOMAIN = 2
# Up to this many daemons, all watch: a dozen watches cost less than the delay that a
# hop adds.
ALL_WATCH_UP_TO = 12
# Seconds between a watcher's heartbeats, which say that it is in touch with the store.
HEARTBEAT_INTERVAL = 0.4
# Seconds for which a watcher of an earlier version, which does not report it, may have
# had no confirmation of the store: the longest watch and the time to detect its loss.
UNREPORTED_AGE = 5.0
# A watcher that has sent nothing for this many seconds is replaced: it has missed three
# heartbeats.
WATCHER_TIMEOUT = 1.3
# A watcher that answers but has lost the store is replaced after this many seconds, one
# heartbeat and the time to ask the other watchers, and isn't followed again before
# WATCHER_RETRY_AFTER.
DISCONNECTED_WATCHER_TIMEOUT = 0.6
WATCHER_RETRY_AFTER = 3.0
# Changes larger than this many bytes are announced instead of sent: on a link of 5
# Mbit/s a watcher would need a second to send them to all its followers. These request
# the whole list, compressed and in pieces, and the store if it doesn't arrive soon.
MAX_CHANGE_BYTES = 32 << 10
# A piece occupies a link of 5 Mbit/s for 13 ms, which delays statements on that link.
# The next piece is sent once at most this many bytes wait to be sent, which is checked
# at this interval in seconds.
PIECE_BYTES = 8 << 10
BACKLOG_POLL_INTERVAL = 0.01
# A follower that is behind asks the store if its watcher's list hasn't arrived within
# this many seconds. A dozen lists of 1,600 routes take a third of it on a watcher's
# link of 5 Mbit/s, and the users' bound on a change leaves four times as much.
LIST_TIMEOUT = 1.0
# A whole list that hasn't arrived is requested again after this many seconds: in pieces
# a configuration of 1,600 routes takes a tenth of it.
LIST_RETRY_AFTER = 2.0
# Minimum seconds between a follower's calls to a store that doesn't answer, and seconds
# between its checks whether a watcher is in touch with the store again.
FOLLOWER_RETRY_INTERVAL = 4.0
WATCHER_POLL_INTERVAL = 0.25
# A daemon that should follow and has just been answered by the store waits this many
# seconds for a watcher before it calls the store again: it finds one in two checks.
WATCHER_SEARCH_TIMEOUT = 1.0
# Changes within this many seconds of others are a burst, and the next ones are batched
# for as long: 195 daemons that start within a second make 9,300 calls if each entry is
# fetched alone, and 1,080 with both waits (two seconds of virtual time). A change that
# comes alone is processed at once.
BURST_WINDOW = 0.2


def watcher_count(daemons, domains, all_up_to=ALL_WATCH_UP_TO):
    """Number of daemons that watch the store; up to `all_up_to` all of them do."""
    if daemons <= all_up_to:
        return daemons
    return min(daemons, WATCHERS_PER_DOMAIN * domains)


def batch_delay(since_last):
    """Seconds to batch further changes before the store is called again.

    `since_last` is the time in seconds between the previous answer with changes and
    this one.
    """
    return BURST_WINDOW if since_last < BURST_WINDOW else 0.0


def is_current(known, since):
    """Whether a follower that knows a feed up to `known` has all its watcher's changes.

    `since` is the revision of the watcher's last change. The revision up to which the
    watcher knows the feed is not suitable: a follower that missed a change is below it,
    and so is one that missed none. Accepting any lower revision would leave the first
    one out of date; requiring equality would make the second one call the store
    forever.
    """
    return known >= since


def is_contiguous(known, since, revision):
    """Whether the changes from `since` to `revision` follow on revision `known`.

    Without this check a daemon would count as up to date at `revision` while it lacks
    the changes before `since`, until its process restarts. Nothing follows on a
    revision of an earlier era: no change tells what the store lost.
    """
    return same_era(known, revision) and since <= known < revision
