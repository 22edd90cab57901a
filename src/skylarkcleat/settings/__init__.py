"""Settings files: read whole at the start, every fault named in one go."""

from skylarkcleat.problem import Problem as Problem
from skylarkcleat.problem import SettingsError as SettingsError
from skylarkcleat.settings.agent import AgentSettings as AgentSettings
from skylarkcleat.settings.agent import (
    load_agent_settings as load_agent_settings,
)
from skylarkcleat.settings.check import check_settings as check_settings
from skylarkcleat.settings.control import ControlSettings as ControlSettings
from skylarkcleat.settings.control import (
    load_control_settings as load_control_settings,
)
from skylarkcleat.settings.entry import EntrySettings as EntrySettings
from skylarkcleat.settings.entry import (
    load_entry_settings as load_entry_settings,
)
