"""Which daemons watch the store, and which follow them.

Load pattern: a store that takes some hundred calls a second, and counts a watch that
waits as one. If every daemon watches, calls grow with the fleet: 91 daemons made 5,900
in a minute. A few watchers in each failure domain pass on what they learn; the others
watch themselves only while no watcher is in touch with the store.
"""

# Watchers in each failure domain: the loss of one leaves one near.
WATCHERS_PER_DOMAIN = 2
# Up to this many daemons all watch: a dozen cost less than what a hop adds in delay.
FEW_DAEMONS = 12
# A watcher says this often that it is in touch with the store, seconds.
BEAT_EVERY = 0.4
# A watcher that has said nothing for this long is left for another: three beats lost.
SILENT_AFTER = 1.3
# Changes larger than this are read from the store by each daemon itself, bytes: on a
# link of 5 Mbit/s a watcher would take a second to pass them to all its followers.
MOST_BYTES = 32 << 10
# A follower asks a store that does not answer no more often than this, seconds, and
# looks this often whether a watcher is in touch again.
FOLLOWER_PAUSE = 4.0
FOLLOW_LOOK = 0.25


def watcher_count(daemons, domains):
    """How many of the daemons watch the store."""
    if daemons <= FEW_DAEMONS:
        return daemons
    return min(daemons, WATCHERS_PER_DOMAIN * domains)
