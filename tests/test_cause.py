from __future__ import annotations

import pathlib
import re

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import phrases

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "causes.md"


def read_rows(text: str) -> list[str]:
    return re.findall(r"^\| `([a-z-]+)` \| .+ \| .+ \|$", text, re.MULTILINE)


def test_page_lists_each_cause_once():
    rows = read_rows(PAGE.read_text("utf-8"))
    assert sorted(rows) == sorted(cause_lib.Cause)


def test_page_lists_the_callers_causes_in_their_own_section():
    text = PAGE.read_text("utf-8")
    section = text.split("## The caller's side")[1].split("\n## ")[0]
    assert set(read_rows(section)) == cause_lib.CALLER_CAUSES


def test_each_cause_has_plain_words():
    assert set(phrases.PHRASES) == set(cause_lib.Cause)
    assert len(set(phrases.PHRASES.values())) == len(phrases.PHRASES)
