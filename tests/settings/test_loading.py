"""Loading of settings files; all problems of a file are reported together."""

import pytest

from samphirehall.settings import EntrySettings, load_settings
from samphirehall.settings.loading import SettingsError, valid_address

VALID_SETTINGS = """
[host]
id = "host-a"
zone = "prairie-1"

[platform]
address = "127.0.0.1:9000"

[entry]
listen = "127.0.0.1:8000"
control = "127.0.0.1:8001"
"""


def load(tmp_path, text):
    path = tmp_path / "entry.toml"
    path.write_text(text)
    return load_settings(path, EntrySettings)


def load_problems(tmp_path, text):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text)
    return {problem.key: problem.allowed for problem in caught.value.problems}


class TestLoadSettings:
    def test_valid_file_gets_defaults(self, tmp_path):
        settings = load(tmp_path, VALID_SETTINGS)
        assert settings.host.zone == "prairie-1"
        assert settings.entry.max_open_requests == 4096

    def test_all_problems_are_listed(self, tmp_path):
        text = VALID_SETTINGS.replace('"127.0.0.1:9000"', '"platform.example:9000"').replace(
            'id = "host-a"', 'id = "Host A"\ncolour = "red"'
        )
        problems = load_problems(tmp_path, text + "stall_seconds = -1\n")
        assert set(problems) == {
            "host.id",
            "host.colour",
            "platform.address",
            "entry.stall_seconds",
        }
        assert "id, region, zone" in problems["host.colour"]
        assert "IP number" in problems["platform.address"]

    @pytest.mark.parametrize(
        "text, key",
        [
            ("not toml", "file"),
            (VALID_SETTINGS.replace("[platform]", "[platforms]"), "platform"),
            (VALID_SETTINGS.replace('"127.0.0.1:8000"', "8000"), "entry.listen"),
            (VALID_SETTINGS + "[host.deep]\n", "host.deep"),
        ],
    )
    def test_problem_names_the_key(self, tmp_path, text, key):
        assert key in load_problems(tmp_path, text)

    def test_missing_file_raises(self, tmp_path):
        with pytest.raises(SettingsError, match="a readable file"):
            load_settings(tmp_path / "none.toml", EntrySettings)


class TestValidAddress:
    @pytest.mark.parametrize("address", ["10.0.0.7:8000", "[::1]:1", "127.0.0.1:65535"])
    def test_accepts(self, address):
        assert valid_address(address)

    @pytest.mark.parametrize(
        "address", ["localhost:80", "10.0.0.7", "10.0.0.7:0", "10.0.0.7:65536", ":80", "1.2.3:4"]
    )
    def test_refuses(self, address):
        assert not valid_address(address)
