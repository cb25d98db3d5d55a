from __future__ import annotations

import asyncio
import json

import pytest

from anvilhoist.code_digest import compute_code_digest
from anvilhoist.errors import SettingsError, UsageError
from anvilhoist.front.settings import read_front_settings
from anvilhoist.oncall.command import code
from anvilhoist.oncall.rounds import plot_rounds, read_rounds
from anvilhoist.oncall.story import (
    collect_request_history,
    describe_cause,
    format_request_history,
    read_log_lines,
)
from anvilhoist.process import parse_command
from anvilhoist.world.follow import MAX_PAUSE_S, choose_watch_pause

LOG_LINES = [
    {"event": "configuration_in_force", "version": 4, "vm": "a"},
    {"event": "replica_believed", "replica": "i-1", "belief": "slow", "vm": "a"},
    {"event": "replica_believed", "replica": "i-1", "belief": "dark", "vm": "a"},
    {"event": "replica_believed", "replica": "i-9", "belief": "slow", "vm": "a"},
    {"event": "replica_believed", "replica": "i-1", "belief": "sound", "vm": "b"},
    {
        "event": "query", "request": "r1", "vm": "a", "outcome": "answered",
        "ms": 210.1, "missing": ["s1"], "tried": {"s1": ["i-1"], "s2": ["i-9"]},
    },
    {
        "event": "refused", "request": "r2", "vm": "a", "kind": "no_replica",
        "ran": "no", "found": 0, "version": 4, "view_age_s": 0.4,
    },
    {
        "event": "request", "request": "r3", "vm": "b", "outcome": "answered",
        "ms": 900.0, "tried": ["i-1"],
    },
]  # fmt: skip

SETTINGS = """
vm = "front-1"
host = "127.0.0.1"
data_centre = "vaxjo"
region = "smaland"
store = "127.0.0.9:80"
peers_port = 7380
metrics_port = 7395
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
"""


class TestRequestHistory:
    @pytest.fixture
    def lines(self, tmp_path):
        path = tmp_path / "log"
        rows = [
            "not json",
            "{broken",
            *(f"12.3 a {json.dumps(row)}" for row in LOG_LINES),
        ]
        path.write_text("\n".join(rows))
        return list(read_log_lines([str(path)]))

    def test_answer_without_a_shard_names_the_replica_belief(self, lines):
        history = collect_request_history(lines, "r1")
        assert "s1 (i-1 dark)" in describe_cause(history)
        assert not any(line.get("replica") == "i-9" for line in history.state_changes)
        assert not any(line.get("belief") == "slow" for line in history.state_changes)

    def test_refusal_names_its_kind_and_the_age_of_the_view(self, lines):
        cause = describe_cause(collect_request_history(lines, "r2"))
        assert "no_replica (ran: no)" in cause
        assert "0.4 s old" in cause

    def test_late_answer_names_what_was_tried(self, lines):
        text = "\n".join(format_request_history(collect_request_history(lines, "r3")))
        assert "after 900.0 ms; tried ['i-1']" in text
        assert "belief=sound" in text

    def test_failed_query_names_its_shards_rather_than_the_refusal(self, lines):
        query = {**lines[5], "request": "r4", "outcome": "failed"}
        refusal = {**lines[6], "request": "r4", "kind": "too_few_shards"}
        cause = describe_cause(
            collect_request_history([*lines[:5], query, refusal], "r4")
        )
        assert cause.startswith("failed after 210.1 ms without 1 shards: s1 (i-1 dark")

    def test_limit_of_a_replica_that_was_passed_over_is_shown(self, lines):
        limit = {"event": "replica_limit", "vm": lines[5].get("vm", ""), "limit": 2.5}
        change = {**limit, "replica": "i-7", "service": "s7", "level": "info"}
        refusal = {**lines[6], "request": "r5", "limited": ["s7"]}
        history = collect_request_history([change, refusal], "r5")
        assert change in history.state_changes

    def test_unknown_id(self, lines):
        assert "no line bears this id" in describe_cause(
            collect_request_history(lines, "r9")
        )

    def test_missing_file(self):
        with pytest.raises(UsageError, match="nowhere"):
            list(read_log_lines(["nowhere"]))


class TestRounds:
    def test_reads_and_plots_all_rounds(self, tmp_path):
        day = {"G": 0.5, "slot": "trouble"}
        entry = {"cmd": "score", "site": "s", "at": ["now"], "days": [day], "why": "w"}
        for number, gate in enumerate((0.0, 1.0)):
            entry["figures"] = {"gate": gate}
            (tmp_path / f"{number}.json").write_text(json.dumps(entry))
        rounds = read_rounds(str(tmp_path))
        assert [scored.passed for scored in rounds] == [False, True]
        plot_rounds(rounds, str(tmp_path / "rounds.png"))
        assert (tmp_path / "rounds.png").stat().st_size > 0

    def test_folder_without_rounds(self, tmp_path):
        with pytest.raises(UsageError, match="no scored round"):
            read_rounds(str(tmp_path))


class TestFrontSettings:
    def write(self, tmp_path, text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return str(path)

    def test_valid(self, tmp_path):
        settings = read_front_settings(self.write(tmp_path, SETTINGS))
        assert settings.listen.directory is None

    @pytest.mark.parametrize(
        ("old", "new", "key"),
        [
            ('vm = "front-1"', "vm = 3", "vm"),
            ("peers_port = 7380", "peers_port = 99999", "peers_port"),
            ('host = "127.0.0.1"', 'hots = "127.0.0.1"', "hots"),
            ('store = "127.0.0.9:80"', 'store = "here"', "store"),
            ('callers = "127.0.0.1:1"', "", "listen.callers"),
        ],
    )
    def test_error_names_the_invalid_key(self, tmp_path, old, new, key):
        with pytest.raises(SettingsError, match=key):
            read_front_settings(self.write(tmp_path, SETTINGS.replace(old, new)))

    def test_no_settings_file_is_named(self, monkeypatch):
        monkeypatch.delenv("ANVILHOIST_SETTINGS", raising=False)
        with pytest.raises(SettingsError, match="missing"):
            read_front_settings(None)


class TestCodeDigest:
    """The digest tells whether two folders hold the same code."""

    @pytest.fixture
    def folder(self, tmp_path):
        (tmp_path / "a.py").write_text("one")
        (tmp_path / "b.py").write_text("two")
        return tmp_path

    def digest(self, folder) -> str:
        return compute_code_digest.__wrapped__(folder)

    def test_copy_is_the_same(self, folder, tmp_path_factory):
        copy = tmp_path_factory.mktemp("copy")
        for path in folder.iterdir():
            (copy / path.name).write_bytes(path.read_bytes())
        (copy / "a.pyc").write_text("compiled")
        assert self.digest(copy) == self.digest(folder)

    @pytest.mark.parametrize(
        "edit",
        [
            lambda folder: (folder / "a.py").write_text("other"),
            lambda folder: (folder / "a.py").unlink(),
            lambda folder: (folder / "a.py").rename(folder / "c.py"),
            lambda folder: (folder / "c.py").write_text(""),
        ],
    )
    def test_any_edit_is_seen(self, folder, edit):
        before = self.digest(folder)
        edit(folder)
        assert self.digest(folder) != before

    def test_command_prints_it(self, folder, capsys):
        main = parse_command("anvilhoist", {"code": code}, ["code", str(folder)])
        assert asyncio.run(main()) == 0
        assert capsys.readouterr().out == f"{self.digest(folder)}\n"

    def test_command_names_a_folder_that_is_missing(self, folder):
        with pytest.raises(SettingsError, match="missing"):
            asyncio.run(code(str(folder / "missing"))())


class TestChooseWatchPause:
    def test_grows_with_the_fleet_up_to_a_bound(self):
        assert choose_watch_pause(1) < choose_watch_pause(4) < choose_watch_pause(33)
        assert choose_watch_pause(890) == MAX_PAUSE_S
