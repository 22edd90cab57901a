"""The data folder of a replica that may be refilled by its peers."""

from __future__ import annotations

import eliot

from skylarkcleat.consensus import errors
from skylarkcleat.consensus import settings as settings_lib
from skylarkcleat.consensus import storage as storage_lib


def open_folder(settings: settings_lib.Settings) -> storage_lib.Storage:
    """Opens a replica's data folder.

    A damaged folder of a replica with peers is set aside, and the replica
    begins as an empty one that its peers refill.

    Raises:
        StorageError: The folder can't be used.
    """
    try:
        return storage_lib.create_storage(settings.folder, settings.name)
    except errors.DamagedError as error:
        if not settings.peers:
            raise
        reason = str(error)
    kept = storage_lib.set_aside(settings.folder, settings.name)
    eliot.log_message("consensus:set-aside", reason=reason, kept=str(kept))
    return storage_lib.create_storage(settings.folder, settings.name)
