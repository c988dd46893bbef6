"""Causes of refusals, a fixed few for metrics; a reply's detail has the particulars."""

# Cause by a part of the detail, the first that matches.
CAUSES = {
    "beyond the workspace's cap": "cap",
    "the queue takes": "queue",
    "the caller has left": "caller left",
    "no proven primary": "no primary",
    "no primary": "no primary",
    "no owner of the group": "no owner",
    "no connection is free": "connections",
    "too many at once": "too many at once",
    "this daemon leaves": "drain",
    "came too late": "too late",
    "answered in time": "too late",
    "able to run it in time": "too late",
    "not run, busy": "upstream full",
    "no replica": "no replica",
    "no known replica": "no replica",
    "earlier statement": "earlier statement",
    "lost statement": "earlier statement",
}


def cause_of(reply):
    """The cause of a refusal; its kind if the detail tells none."""
    for text, cause in CAUSES.items():
        if text in reply.detail:
            return cause
    return str(reply.refusal)
