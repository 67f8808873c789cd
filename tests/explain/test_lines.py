"""Reading log lines from files and from standard input."""

import io
from types import SimpleNamespace

import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.explain.lines import log_lines, read_lines

LINE = '{"time":12.5,"host":"a","message":"start","zone":"z"}'


class TestReadLines:
    @pytest.mark.parametrize("before", ["", "  0.7134 front-1 ", "Dec 04 10:00:00 a node[7]: "])
    def test_text_before_the_object_is_skipped(self, before):
        (line,) = read_lines([before + LINE + "\n"])
        assert (line.time, line.host, line.event) == (12.5, "a", "start")
        assert line.fields["zone"] == "z" and line.request is None

    @pytest.mark.parametrize("text", ["{", '{"time":1}', '{"time":"x","host":"a","message":"m"}'])
    def test_invalid_line_is_none(self, text):
        assert list(read_lines([text])) == [None]

    @pytest.mark.parametrize(
        "time", ["1" * 400, "1" * 5_000, "[" * 200_000 + "]" * 200_000], ids=["400", "5000", "deep"]
    )
    def test_odd_line_is_none_and_the_next_one_holds(self, time):
        odd = '{"time":' + time + ',"host":"a","message":"m"}'
        assert [line and line.event for line in read_lines([odd, LINE])] == [None, "start"]

    def test_line_without_an_object_is_skipped(self):
        assert not list(read_lines(["Traceback (most recent call last):\n", "\n"]))


class TestLogLines:
    def test_files_are_read_in_order_and_repeatedly(self, tmp_path):
        for name in ("a", "b"):
            (tmp_path / name).write_text(f"{name}\n")
        with log_lines([str(tmp_path / "a"), str(tmp_path / "b")]) as open_lines:
            assert list(open_lines()) == ["a\n", "b\n"]
            assert list(open_lines()) == ["a\n", "b\n"]

    def test_standard_input_is_read_repeatedly(self, monkeypatch):
        monkeypatch.setattr("sys.stdin", SimpleNamespace(buffer=io.BytesIO(b"one\ntwo\n")))
        with log_lines([]) as open_lines:
            assert list(open_lines()) == list(open_lines()) == ["one\n", "two\n"]

    def test_missing_file_is_named(self, tmp_path):
        absent = str(tmp_path / "absent")
        with pytest.raises(SamphireError, match="absent"), log_lines([absent]) as open_lines:
            list(open_lines())
