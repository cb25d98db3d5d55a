"""Read the settings file again, and apply what can change at run time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from msgspec.structs import replace

from ..errors import SettingsError
from .settings import FrontSettings, read_front_settings

# Settings that are read only at the start of the process.
RESTART_SETTINGS = (
    "vm", "host", "data_centre", "region", "store", "listen", "peers_port",
    "metrics_port",
)  # fmt: skip


@dataclass(slots=True)
class SettingsReloader:
    """Settings in force, and what the file said when it was last read.

    Parameters
    ----------
    path : str or None
        Path of the file; None for the one that the environment names.
    in_force : FrontSettings
        Settings that the process started with.
    apply : callable
        Called with new settings that are now in force.
    """

    path: str | None
    in_force: FrontSettings
    apply: Callable[[FrontSettings], None]
    _last_read: FrontSettings = field(init=False)
    _problem: str = ""  # last logged problem with the file; empty once it is valid

    def __post_init__(self):
        self._last_read = self.in_force

    def reload(self, now: float = 0.0) -> None:
        """Read the file again; `now` is passed by timers and not used.

        A file that can't be read or is not valid changes nothing. Changes of
        `RESTART_SETTINGS` and of the retry window wait for a restart.
        """
        log = structlog.get_logger()
        try:
            found = read_front_settings(self.path)
        except SettingsError as error:
            if str(error) != self._problem:
                self._problem = str(error)
                log.error("settings_refused", problem=self._problem, kept="last valid")
            return
        self._problem = ""
        if found == self._last_read:
            return
        self._last_read = found
        waiting = self._list_waiting(found)
        if waiting:
            log.warning("settings_wait", why=f"{' and '.join(waiting)} need a restart")
        settings = self._keep_restart_settings(found)
        if settings != self.in_force:
            self.in_force = settings
            self.apply(settings)
            log.info("settings_in_force", seeds=settings.seeds)

    def _list_waiting(self, found: FrontSettings) -> list[str]:
        waiting = [
            name
            for name in RESTART_SETTINGS
            if getattr(found, name) != getattr(self.in_force, name)
        ]
        if found.bounds.retry_window_s != self.in_force.bounds.retry_window_s:
            waiting.append("bounds.retry_window_s")
        return waiting

    def _keep_restart_settings(self, found: FrontSettings) -> FrontSettings:
        kept = {name: getattr(self.in_force, name) for name in RESTART_SETTINGS}
        window_s = self.in_force.bounds.retry_window_s
        bounds = replace(found.bounds, retry_window_s=window_s)
        return replace(found, bounds=bounds, **kept)
