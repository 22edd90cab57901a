"""Opens a replica's data folder, and replaces it by an empty one if damaged."""

from __future__ import annotations

import eliot

from skylarkcleat.consensus import errors
from skylarkcleat.consensus import settings as settings_lib
from skylarkcleat.consensus import storage as storage_lib


def open_folder(settings: settings_lib.Settings) -> storage_lib.Storage:
    """Opens a replica's data folder.

    If the folder is damaged and the replica has peers, or finds them while it
    runs, its files are moved away. It then starts empty, and gets the log from
    its peers.

    Raises:
        StorageError: The folder cannot be used.
    """
    try:
        return storage_lib.create_storage(settings.folder, settings.name)
    except errors.DamagedError as error:
        if not settings.peers and not settings.is_open:
            raise
        reason = str(error)
    kept = storage_lib.set_aside(settings.folder, settings.name)
    eliot.log_message("consensus:set-aside", reason=reason, kept=str(kept))
    return storage_lib.create_storage(settings.folder, settings.name)
