"""The configuration version of a host never decreases."""

from hypothesis import given
from hypothesis import strategies as st

from samphirehall.configuration.version import Configuration
from samphirehall.node.state import NodeState


class TestTakeConfiguration:
    @given(st.lists(st.integers(1, 9)))
    def test_version_in_force_only_rises(self, versions):
        state, seen = NodeState("host", "zone", 1), []
        state.add_configuration_listener(lambda configuration: seen.append(configuration.version))
        for version in versions:
            state.put_in_force(Configuration(version, {}))
            assert state.configuration.version == max(seen)
        assert seen == sorted(set(seen))
