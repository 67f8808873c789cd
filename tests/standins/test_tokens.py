"""Tokens of stand-ins with software versions."""

from samphirehall.standins.tokens import token_at, versions_in


class TestVersions:
    def test_tokens_depend_on_the_software_version(self):
        tokens = {token_at("answer", "prompt", 0, version) for version in ("", "v1", "v2")}
        assert len({token.partition("-")[0] for token in tokens}) == 3

    def test_versions_of_a_joined_text_are_found(self):
        text = token_at("answer", "p", 0, "v1.2") + token_at("answer", "p", 1, "v1")
        assert versions_in(text) == ["v1.2", "v1"]

    def test_text_without_versions_has_one(self):
        assert versions_in(token_at("answer", "p", 0) + token_at("answer", "p", 1)) == [""]
