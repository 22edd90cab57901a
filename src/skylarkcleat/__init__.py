"""A dispatcher for sub-second tasks that answers for every outcome.

The names for callers are imported when they are first used: the daemons import
this package too, and start without the client and its libraries.
"""

import importlib
import typing as _t

if _t.TYPE_CHECKING:
    from skylarkcleat.client import Client as Client
    from skylarkcleat.client import JobFailure as JobFailure
    from skylarkcleat.client import JobResult as JobResult
    from skylarkcleat.client import create_client as create_client
    from skylarkcleat.model.cause import Cause as Cause
    from skylarkcleat.model.failure import Failure as Failure
    from skylarkcleat.model.failure import Outcome as Outcome

_MODULES = {
    "Client": "skylarkcleat.client",
    "JobFailure": "skylarkcleat.client",
    "JobResult": "skylarkcleat.client",
    "create_client": "skylarkcleat.client",
    "Cause": "skylarkcleat.model.cause",
    "Failure": "skylarkcleat.model.failure",
    "Outcome": "skylarkcleat.model.failure",
}


def __getattr__(name: str) -> _t.Any:
    """Imports a name for callers on first use."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module), name)
