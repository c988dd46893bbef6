"""One election of a primary: which members promised, and which to promote."""

from collections.abc import Callable
from dataclasses import dataclass, field

from gypsum_core.records import Status


@dataclass(slots=True, kw_only=True)
class Election:
    """One attempt to install a primary at `term`.

    `accepted` holds the statuses of members that promised it, `responded` the names of
    all that answered or failed; `avoided` is promoted only if the other accepting
    members are no majority.
    """

    term: int
    started_at: float
    accepted: dict[str, Status] = field(default_factory=dict)
    responded: set[str] = field(default_factory=set)
    candidate: str = ""
    avoided: str = ""

    def best_candidate(
        self, *, majority: int, leaving: Callable[[str], bool]
    ) -> Status:
        """The member to promote: the longest log first, then one not leaving."""

        def preference(status):
            stays = not leaving(status.upstream)
            return (status.log_end, stays, status.applied, status.upstream)

        return max(self.candidates(majority), key=preference)

    def candidates(self, majority):
        """The accepting members, without `avoided` if the rest is a majority.

        A primary that is partitioned from its group but not from this daemon has the
        longest log, with an unconfirmed tail, and would be promoted repeatedly. Any
        majority holds all confirmed writes, so it can be left out.
        """
        others = [
            status for name, status in self.accepted.items() if name != self.avoided
        ]
        return others if len(others) >= majority else list(self.accepted.values())
