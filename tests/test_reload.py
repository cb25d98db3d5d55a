"""Settings that are read again at run time."""

from __future__ import annotations

import pytest
import structlog

from anvilhoist.front.reload import SettingsReloader
from anvilhoist.front.settings import read_front_settings

SETTINGS = """
vm = "front-1"
host = "127.0.0.1"
data_centre = "vaxjo"
region = "smaland"
store = "127.0.0.1:9000"
peers_port = 9001
metrics_port = 9002
seeds = ["127.0.0.2:9003"]
[listen]
callers = "127.0.0.1:9004"
readiness = "127.0.0.1:9005"
peers = "127.0.0.1:9003"
[bounds]
retry_allowance = 50
"""


class ReloadedFile:
    """A settings file and a reloader that started with `SETTINGS`."""

    def __init__(self, path):
        self.path = path
        path.write_text(SETTINGS, encoding="utf-8")
        self.applied = []
        self.reloader = SettingsReloader(
            str(path), read_front_settings(str(path)), self.applied.append
        )

    def change(self, old: str, new: str) -> list[str]:
        """Replace text of `SETTINGS`; return the events of two reloads."""
        self.path.write_text(SETTINGS.replace(old, new), encoding="utf-8")
        with structlog.testing.capture_logs() as logs:
            self.reloader.reload()
            self.reloader.reload()
        return [line["event"] for line in logs]


@pytest.fixture
def reloaded(tmp_path) -> ReloadedFile:
    return ReloadedFile(tmp_path / "settings.toml")


class TestSettingsReloader:
    def test_seeds_and_bounds_apply_at_once(self, reloaded):
        assert reloaded.change("127.0.0.2", "127.0.0.3") == ["settings_in_force"]
        assert reloaded.change("= 50", "= 60") == ["settings_in_force"]
        assert reloaded.applied[0].seed_hosts == ("127.0.0.3",)
        assert reloaded.applied[1].bounds.retry_allowance == 60

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ("9004", "9014"),
            ("9001", "9011"),
            ("9000", "9010"),
            ('"vaxjo"', '"alvesta"'),
            ("retry_allowance = 50", "retry_window_s = 20\nretry_allowance = 50"),
        ],
    )
    def test_what_needs_a_restart_is_logged_once(self, reloaded, old, new):
        assert reloaded.change(old, new) == ["settings_wait"]
        assert reloaded.applied == []

    def test_a_problem_that_returns_is_logged_again(self, reloaded):
        assert reloaded.change("front-1", "") == ["settings_refused"]
        assert reloaded.change("front-1", "front-1") == []
        assert reloaded.change("front-1", "") == ["settings_refused"]
