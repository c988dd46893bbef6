"""One attempt to install a primary: who promised, and who should lead."""

from collections.abc import Callable
from dataclasses import dataclass, field

from gypsum_core.records import Status


@dataclass(slots=True, kw_only=True)
class Election:
    """One attempt to install a primary at `term`.

    `accepted` holds the statuses of members that promised it, `settled` the names
    of all that answered or failed; `unfit` had better not lead again.
    """

    term: int
    started: float
    accepted: dict[str, Status] = field(default_factory=dict)
    settled: set[str] = field(default_factory=set)
    candidate: str = ""
    unfit: str = ""

    def best(self, *, majority: int, leaving: Callable[[str], bool]) -> Status:
        """The member to promote: the longest log, then one that stays."""

        def preference(status):
            stays = not leaving(status.upstream)
            return (status.log_end, stays, status.applied, status.upstream)

        return max(self.candidates(majority), key=preference)

    def candidates(self, majority):
        """The accepting members, less the unfit one if the rest is a majority.

        What goes wrong without it: a primary that is cut from its group but not
        from us has the longest log, an unconfirmed tail, and is promoted again
        and again. Any majority holds all confirmed writes, so it may be left out.
        """
        others = [
            status for name, status in self.accepted.items() if name != self.unfit
        ]
        return others if len(others) >= majority else list(self.accepted.values())
