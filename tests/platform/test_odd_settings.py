"""Settings with numbers and addresses that cannot be used."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.platform.settings import SettingsError, parse_settings
from samphirehall.settings.loading import load_settings
from samphirehall.settings.tables import EntrySettings
from tests.platform.test_decoding import SETTINGS, settings_text
from tests.support import odd_bytes


class TestSettings:
    @pytest.mark.parametrize("name", ["port_range", "platform.row_bytes", "bounds.lease_ms"])
    @pytest.mark.parametrize("value", ["1" * 5_000, "²", "-1", "1e400", "9" * 20])
    def test_odd_number_is_a_problem(self, name, value):
        with pytest.raises(SettingsError) as caught:
            parse_settings(settings_text(**{name: value}), file="f")
        assert {problem.key for problem in caught.value.problems} == {name}
        assert len(str(caught.value)) < 2_000

    @pytest.mark.parametrize("value", ["10.0.0.1:" + "1" * 5_000, "10.0.0.1:²", "host:80"])
    def test_odd_address_is_a_problem(self, value):
        with pytest.raises(SettingsError):
            parse_settings(settings_text(**{"platform.address": value}), file="f")

    @given(
        st.dictionaries(
            st.sampled_from(sorted(SETTINGS)),
            odd_bytes.texts.filter(lambda text: "\n" not in text and len(text) < 10_000),
        )
    )
    def test_any_text_gives_settings_or_a_settings_error(self, changes):
        try:
            made = parse_settings(settings_text(**changes), file="f")
        except SettingsError:
            return
        assert 0 <= made.min_peer_port <= 65_535 and 0 <= made.lease_time < float("inf")

    def test_deep_file_is_a_problem(self, tmp_path):
        path = tmp_path / "entry.toml"
        path.write_text("a = " + "[" * odd_bytes.DEEP)
        with pytest.raises(SettingsError):
            load_settings(path, EntrySettings)
