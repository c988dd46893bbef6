"""Whose word counts on a caller's key, where daemons know different configurations.

Load pattern: keys are withdrawn, several within a second, while the store turns a third
of the daemons away. A statement is let in at one daemon and run at another one, and
either may know the newer configuration. A daemon that always went by its own would
refuse callers whose key was just added; one that always trusted the other would run
statements of callers whose key was withdrawn long ago.

So the newer configuration decides: the one that let a caller in, or that of whoever
works on its statement.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Credential:
    """What a caller was let in with.

    `workspace` is whose key it showed, `digest` stands for that key, both empty where
    no key is asked for. `version` is the configuration that let it in.
    """

    workspace: str = ""
    digest: str = ""
    version: int = -1


ANONYMOUS = Credential()


def is_credential_valid(credential, *, version, holder):
    """Tell whether a credential still counts where `version` is in force.

    `holder` is the workspace that has its key there, None if none has.
    """
    if not credential.digest:
        return True
    if credential.version > version:
        return True
    return holder == credential.workspace
