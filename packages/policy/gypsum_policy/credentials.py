"""Validity of a caller's key where daemons have different configuration versions.

Load pattern: several keys are withdrawn within a second while the store rejects calls
of a third of the daemons. A statement is admitted at one daemon and run at another, and
either may have the newer configuration. A daemon that always used its own would refuse
callers whose key was just added; one that always trusted the other would run statements
of callers whose key was withdrawn long ago.

The newer configuration therefore decides: that of the daemon that admitted the caller
or that of the daemon that runs the statement.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Credential:
    """The identity under which a caller was admitted.

    `workspace` owns the key that the caller presented and `digest` is that key's hash;
    both are empty where no key is required. `version` is the configuration version that
    admitted the caller.
    """

    workspace: str = ""
    digest: str = ""
    version: int = -1


ANONYMOUS = Credential()


def is_credential_valid(credential, *, version, holder):
    """Whether a credential is still valid under configuration `version`.

    `holder` is the workspace to which that configuration assigns the key, None if it
    doesn't list the key.
    """
    if not credential.digest:
        return True
    if credential.version > version:
        return True
    return holder == credential.workspace
