"""Replays decisions recorded from a run of processes through the same code.

Run ``python tests/test_replay.py`` to record the trace anew.
"""

from __future__ import annotations

import json
from pathlib import Path

from anvilhoist.bench.topology import make_plan, write_directory, write_vms
from anvilhoist.searches.documents import DIRECTORY, VMS, parse_document
from anvilhoist.searches.placement import Placement

TRACE = Path(__file__).parent / "traces" / "placement.json"
BASE_PORT = 29000
STATES = ({}, {"vm-2": "leaving"}, {"vm-2": "leaving", "vm-3": "gone"}, {})
PLACEMENT_EVENTS = ("claimed", "lost", "owned")
RECORDED_S = 7.0


def place(revision: int) -> Placement:
    """Owners under a revision of the recorded run, by today's code."""
    from runner import SMALL

    plan = make_plan(SMALL, BASE_PORT)
    vms = parse_document(VMS, write_vms(plan, STATES[revision - 1]))
    return Placement(vms, parse_document(DIRECTORY, write_directory(plan)))


def read_trace() -> list[dict[str, str]]:
    return json.loads(TRACE.read_text(encoding="utf-8"))


class TestReplay:
    def test_claims_and_losses_are_those_of_the_recorded_run(self):
        revision = dict.fromkeys(("vm-1", "vm-2", "vm-3", "vm-4"), 0)
        owned: dict[str, set[str]] = {vm: set() for vm in revision}
        for line in read_trace():
            vm, subject = line["vm"], line["subject"]
            match line["event"]:
                case "accept" if subject.startswith("vms@"):
                    revision[vm] = int(subject.removeprefix("vms@"))
                case "claimed":
                    owned[vm].add(subject)
                    assert place(revision[vm]).owner(subject) == vm
                case "lost":
                    owned[vm].discard(subject)
                    assert place(revision[vm]).owner(subject) != vm
        for vm, replicas in owned.items():
            assert replicas == place(len(STATES)).owned_by(vm)

    def test_no_replica_was_held_by_two_in_the_recorded_run(self):
        holder: dict[str, str] = {}
        for line in read_trace():
            vm, subject = line["vm"], line["subject"]
            if line["event"] == "owned":
                assert holder.get(subject) in (None, vm), line
                holder[subject] = vm
            elif line["event"] in ("hand over", "lost"):
                if holder.get(subject) == vm:
                    del holder[subject]


def record() -> None:
    from runner import FleetRunner

    runner = FleetRunner(BASE_PORT)
    runner.start()
    lines = []
    try:
        for states in STATES[1:]:
            runner.publish("vms", write_vms(runner.fleet.plan, states))
            runner.wait(RECORDED_S)
        for vm in runner.fleet.plan.vm_names:
            for text in runner.fleet.read_log(f"{vm}-dispatch").splitlines():
                lines.append(json.loads(text))
    finally:
        runner.stop()
    kept = [
        {key: line[key] for key in ("at_s", "vm", "event", "subject", "reason")}
        for line in lines
        if line["event"] in (*PLACEMENT_EVENTS, "hand over", "accept")
    ]
    kept.sort(key=lambda line: line["at_s"])
    rows = ",\n".join(json.dumps(line) for line in kept)
    TRACE.write_text(f"[\n{rows}\n]\n", encoding="utf-8")


if __name__ == "__main__":
    record()
