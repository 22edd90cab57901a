"""Opens the sockets of a side process and runs it."""

from __future__ import annotations

import asyncio
import contextlib
import random

from skylarkcleat import supervision
from skylarkcleat.http_limits import guard as guard_lib
from skylarkcleat.http_limits import limits as http_limits
from skylarkcleat.platform import daemon
from skylarkcleat.platform import listening
from skylarkcleat.platform import runner_reports
from skylarkcleat.platform import seed_watch
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.side import channels as channels_lib
from skylarkcleat.side import process as side_process


async def serve(
    settings: settings_lib.Settings,
    guard: guard_lib.Guard,
    stopping: asyncio.Event,
) -> None:
    """Serves a runner until a stop is requested."""
    async with contextlib.AsyncExitStack() as stack:
        hub = await stack.enter_async_context(daemon.create_hub(settings))
        channels = await channels_lib.open_channels(stack, settings.app)
        process = side_process.SideProcess(
            settings, hub, channels, random.Random()
        )
        app = runner_reports.create_reports_app(process)
        runner = listening.create_app_runner(
            guard, http_limits.HEARTBEAT_BODY_BYTES, app
        )
        await listening.listen(stack, settings.listen.control, runner)
        watch = seed_watch.create_seed_watch(process)
        tasks = [
            *process.list_tasks(),
            supervision.keep_running("watch the seeds", watch.run),
        ]
        async with daemon.run_tasks(tasks, stopping):
            await process.close()
