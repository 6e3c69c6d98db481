"""Tests of links in the documentation and of the embedding example."""

import pathlib
import re
import runpy

ROOT = pathlib.Path(__file__).parent.parent
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def test_links_between_pages_resolve():
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    broken = [
        (page.name, link)
        for page in pages
        for link in LINK.findall(page.read_text("utf-8"))
        if not (page.parent / link).exists()
    ]
    assert pages and broken == []


def test_embedding_example_retries_on_the_other_server(capsys):
    runpy.run_path(str(ROOT / "examples" / "embed.py"), run_name="__main__")
    lines = capsys.readouterr().out.splitlines()
    sends = [line.split() for line in lines if "Send" in line]
    assert [words[4] for words in sends] == ["attempt=1", "attempt=2"]
    assert len({words[5] for words in sends}) == 2
    assert any("Failed -> Wait" in line for line in lines)
    assert lines[-1] == "in progress: 0"
