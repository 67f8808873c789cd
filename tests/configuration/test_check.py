"""Check of documents before they are sent: errors as on the hosts, and entries without effect."""

import json
import sys
import tomllib

import pytest

from samphirehall.configuration.check import check_files, compare_parts
from samphirehall.configuration.documents import ConfigurationError, check_documents, encode_part
from samphirehall.programs import ctl

DIGEST = "a" * 64
SOUND = f"""
[customers.coop]
key_digests = ["{DIGEST}"]

[models.answer]
version = "1"

[routes.chat]
kind = "model"
target = "answer"

[fleet]
standard_floor = 1
"""


def write(tmp_path, text, name="a.toml"):
    file = tmp_path / name
    file.write_text(text)
    return str(file)


def warnings(tmp_path, text):
    report = check_files([write(tmp_path, text)])
    assert not report.errors
    return [(problem.key, problem.value) for problem in report.warnings]


class TestErrors:
    def test_sound_file_has_neither_errors_nor_warnings(self, tmp_path):
        report = check_files([write(tmp_path, SOUND)])
        assert not report.errors and not report.warnings
        assert report.parts.keys() == {"customers/coop", "models/answer", "routes/chat", "fleet"}

    @pytest.mark.parametrize(
        ("text", "key", "reason"),
        [
            ("[fleet\n", "file", "line 1"),
            ("[nonsense]\n", "nonsense", "one of the tables"),
            ("routes = 3\n", "routes", "one of the tables"),
            ("[customers]\ncoop = 3\n", "customers/coop", "a table"),
            ("[customers.coop]\nweight = 0\n", "customers.coop.weight", "> 0"),
            ("[customers.coop]\nwieght = 1\n", "customers.coop.wieght", "unknown key"),
            ("[customers.coop]\nsince = 2026-01-01\n", "customers.coop.since", "unknown key"),
            ('[routes.a]\nkind = "model"\n', "routes.a.target", "required"),
            ('[routes.a]\nkind = "model"\ntarget = "x"\n', "routes.a.target", "models, adapters"),
            ('[adapters.a]\nmodel = "x"\nversion = "1"\n', "adapters.a.model", "models"),
        ],
    )
    def test_error_names_file_key_and_reason(self, tmp_path, text, key, reason):
        file = write(tmp_path, text)
        (problem,) = check_files([file]).errors
        assert (problem.file, problem.key) == (file, key)
        assert reason in problem.allowed

    # Guards against a check that accepts what the hosts refuse, or the reverse.
    @pytest.mark.parametrize("text", [SOUND, "[fleet]\nmax_endpoints = -1\n", "[x]\n"])
    def test_check_agrees_with_the_validation_of_the_hosts(self, tmp_path, text):
        report = check_files([write(tmp_path, text)])
        try:
            parts = check_documents({"a": tomllib.loads(text)})
        except ConfigurationError as error:
            assert [p.key for p in error.problems] == [p.key for p in report.errors]
        else:
            assert report.parts == parts

    def test_all_files_are_checked_together(self, tmp_path):
        one = write(tmp_path, SOUND)
        two = write(tmp_path, SOUND + "[models.other]\nversion = 1\n", "b.toml")
        keys = {(p.file, p.key) for p in check_files([one, two, str(tmp_path / "none")]).errors}
        assert keys == {(str(tmp_path / "none"), "file")}
        keys = {(p.file, p.key) for p in check_files([one, two]).errors}
        assert {(two, "models.other.version"), (two, "routes/chat")} <= keys


class TestWarnings:
    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            (
                ("key_digests", "#"),
                [("customers.coop.key_digests", []), ("routes.chat.open", False)],
            ),
            (("[models", 'routes = ["*", "chat"]\n[models'), [("customers.coop.routes", "chat")]),
            (
                ("[models", 'routes = ["chat", "caht"]\n[models'),
                [("customers.coop.routes", "caht")],
            ),
            (
                ("[models", 'models = ["nix"]\n[models'),
                [("customers.coop.models", "nix"), ("routes.chat.open", False)],
            ),
            (
                ("[models", "routes = []\n[models"),
                [("customers.coop.routes", []), ("routes.chat.open", False)],
            ),
            (("[fleet]", '[models.b]\nversion = "1"\n[fleet]'), [("models.b.version", "1")]),
            (("[fleet]", "max_tokens = 131072\n[fleet]"), [("routes.chat.max_tokens", 131_072)]),
            (
                ("[models", "tokens_per_second = 100\n[models"),
                [("customers.coop.tokens_per_second", 100.0)],
            ),
            (("= 1\n", "= 9\nmax_endpoints = 8\n"), [("fleet.standard_floor", 9)]),
            (("= 1\n", "= 2\nbudget_per_hour = 7\n"), [("fleet.budget_per_hour", 7.0)]),
            (("= 1\n", "= 1\ncheap_cost_per_hour = 5\n"), [("fleet.cheap_cost_per_hour", 5.0)]),
            (
                ("= 1\n", "= 1\nrole_dwell_seconds = 1\nchange_roles = true\n"),
                [("fleet.role_dwell_seconds", 1.0)],
            ),
        ],
    )
    def test_entry_without_effect_or_in_contradiction_is_named(self, tmp_path, change, expected):
        text = SOUND.replace(*change)
        assert text != SOUND
        assert warnings(tmp_path, text) == expected

    # Guards against false alarms that would make operators pass over the true ones.
    @pytest.mark.parametrize(
        "added",
        [
            '[routes.desk]\nkind = "service"\ntarget = "order-desk"\nidempotent = false\n',
            '[adapters.b]\nmodel = "answer"\nversion = "1"\n'
            '[routes.b]\nkind = "model"\ntarget = "b"\n',
            f'[customers.b]\nkey_digests = ["{"b" * 64}"]\nmodels = []\nroutes = ["chat"]\n',
        ],
    )
    def test_sensible_entries_give_no_warning(self, tmp_path, added):
        assert warnings(tmp_path, SOUND + added) == []

    def test_model_that_only_an_adapter_needs_is_in_use(self, tmp_path):
        adapter = '[adapters.b]\nmodel = "answer"\nversion = "1"\n'
        text = SOUND.replace('target = "answer"', 'target = "b"') + adapter
        assert warnings(tmp_path, text) == []


def in_force(text):
    parts = check_documents({"a": tomllib.loads(text)})
    return {name: json.loads(encode_part(part)) for name, part in parts.items()}


class TestCompare:
    def test_same_parts_have_no_change(self, tmp_path):
        assert compare_parts(in_force(SOUND), check_files([write(tmp_path, SOUND)]).parts) == []

    def test_added_removed_and_changed_parts_are_listed(self, tmp_path):
        text = SOUND.replace("standard_floor = 1", "standard_floor = 2")
        text = text.replace("routes.chat", "routes.talk")
        changes = compare_parts(in_force(SOUND), check_files([write(tmp_path, text)]).parts)
        shown = [str(change) for change in changes]
        assert shown[0].startswith('+ routes/talk {"deadline_seconds": 30.0')
        assert shown[1:] == ["- routes/chat", "~ fleet.standard_floor: 1 -> 2"]


class TestCommand:
    @pytest.fixture
    def run(self, monkeypatch, capsys):
        answer = {"version": 41, "parts": in_force(SOUND)}
        monkeypatch.setattr(ctl.ControlClient, "call", lambda *arguments: answer)

        def run(*arguments):
            monkeypatch.setattr(sys, "argv", ["samphirectl", "config", "check", *arguments])
            try:
                ctl.main()
            except SystemExit as exit_request:
                return exit_request.code, capsys.readouterr().out
            return 0, capsys.readouterr().out

        return run

    @pytest.mark.parametrize(
        ("text", "status", "line"),
        [
            (SOUND, 0, "ok: 4 parts, 0 warnings"),
            ("[x]\n", 1, "error: "),
            (SOUND.replace("= 1\n", "= 9\nmax_endpoints = 8\n"), 2, "warning: "),
        ],
    )
    def test_exit_status_tells_errors_from_warnings(self, run, tmp_path, text, status, line):
        code, printed = run(write(tmp_path, text))
        assert code == status and printed.startswith(line)

    def test_difference_to_the_version_in_force_is_printed(self, run, tmp_path):
        file = write(tmp_path, SOUND.replace("standard_floor = 1", "standard_floor = 2"))
        code, printed = run(file, "--against", "in-force")
        assert code == 0
        assert printed.splitlines()[1:] == [
            "against version 41:",
            "~ fleet.standard_floor: 1 -> 2",
        ]
        code, printed = run(file, "--against=in-force", "--json")
        assert code == 0 and json.loads(printed) == {
            "errors": [],
            "warnings": [],
            "against": 41,
            "changes": [{"part": "fleet", "key": "standard_floor", "before": 1, "after": 2}],
        }

    def test_invalid_file_is_not_compared(self, run, tmp_path):
        code, printed = run(write(tmp_path, "[x]\n"), "--against=in-force", "--json")
        assert code == 1 and json.loads(printed).keys() == {"errors", "warnings"}

    def test_value_that_json_cannot_hold_is_shown_as_text(self, run, tmp_path):
        code, printed = run(write(tmp_path, "[fleet]\nsince = 2026-01-01\n"), "--json")
        assert code == 1 and json.loads(printed)["errors"][0]["value"] == "2026-01-01"

    def test_unknown_base_of_a_comparison_is_refused(self, run, tmp_path):
        code, printed = run(write(tmp_path, SOUND), "--against=yesterday")
        assert "in-force" in code and not printed  # a text as exit code gives status 1
