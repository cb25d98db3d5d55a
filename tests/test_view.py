from __future__ import annotations

import pytest

from anvilhoist.searches.documents import CONFIG
from anvilhoist.searches.messages import Published
from anvilhoist.searches.view import View

GOOD = """
[data_centres.vaxjo]
[profiles.lookup]
kind = "search"
target = "sorting"
deadline_ms = 100
[services.belt]
profile = "lookup"
"""
BAD = GOOD.replace("deadline_ms = 100", 'deadline_ms = "soon"')


def make_view() -> View:
    return View(lambda: 10.0)


class TestRevisions:
    def test_an_older_revision_never_comes_back(self):
        view = make_view()
        assert view.offer(Published(CONFIG, 5, GOOD))
        assert not view.offer(Published(CONFIG, 4, GOOD))
        assert view.revision(CONFIG) == 5

    def test_an_invalid_revision_between_two_good_ones(self):
        view = make_view()
        view.offer(Published(CONFIG, 1, GOOD))
        assert not view.offer(Published(CONFIG, 2, BAD))
        assert view.revision(CONFIG) == 1
        assert [item.revision for item in view.rejections] == [2]
        assert view.offer(Published(CONFIG, 3, GOOD))
        assert view.rejections == ()

    def test_the_refusal_names_key_found_and_allowed(self):
        view = make_view()
        view.offer(Published(CONFIG, 2, BAD))
        (problem,) = view.rejections[0].problems
        assert "profiles.lookup.deadline_ms" in problem
        assert "'soon'" in problem
        assert "integer" in problem

    def test_another_text_under_the_same_revision_is_counted(self):
        view = make_view()
        view.offer(Published(CONFIG, 1, GOOD))
        view.offer(Published(CONFIG, 1, GOOD + "# other"))
        assert view.conflicts == 1

    @pytest.mark.parametrize("key", ["", "other"])
    def test_unknown_documents_are_passed_over(self, key):
        assert not make_view().offer(Published(key, 1, GOOD))
