from __future__ import annotations

import matrix


class TestFaultMatrix:
    def test_page_says_what_the_suite_says(self):
        assert matrix.PAGE.read_text(encoding="utf-8") == matrix.write_page()

    def test_every_scenario_names_a_point_a_fault_and_a_step(self):
        for item in matrix.read_scenarios():
            assert item.points, item.name
            assert item.faults, item.name
            assert item.steps, item.name

    def test_every_point_has_a_scenario_with_real_processes(self):
        levels = {
            point
            for item in matrix.read_scenarios()
            if item.level == "processes"
            for point in item.points
        }
        assert levels == set(matrix.POINTS)
