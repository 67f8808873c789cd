from hypothesis import given
from hypothesis import strategies as st

from samphirehall.routing.prefix_index import PrefixIndex

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["store", "remove_block", "remove_endpoint"]),
        st.sampled_from([f"e{n}" for n in range(12)]),
        st.lists(st.integers(0, 30), min_size=1, max_size=6),
    )
)


class TestPrefixIndex:
    @given(OPERATIONS)
    def test_memory_is_bounded(self, operations):
        index = PrefixIndex(max_blocks=10, max_holders=3)
        for action, endpoint, blocks in operations:
            match action:
                case "store":
                    index.store(endpoint, blocks)
                case "remove_block":
                    index.remove_block(endpoint, blocks[0])
                case "remove_endpoint":
                    index.remove_endpoint(endpoint)
            assert len(index) <= 10
            assert all(len(index.matches([block])) <= 3 for block in blocks)

    def test_only_a_prefix_counts(self):
        index = PrefixIndex()
        index.store("a", [1, 2, 3])
        index.store("b", [1])
        index.store("c", [2, 3])
        assert index.matches([1, 2, 3, 4]) == {"a": 3, "b": 1}

    def test_removed_block_ends_the_match(self):
        index = PrefixIndex()
        index.store("a", [1, 2, 3])
        index.remove_block("a", 2)
        assert index.matches([1, 2, 3]) == {"a": 1}

    def test_removed_endpoint_matches_only_what_it_stores_later(self):
        index = PrefixIndex()
        index.store("a", [1, 2])
        index.remove_endpoint("a")
        assert index.matches([1, 2]) == {}
        index.store("a", [1])
        assert index.matches([1, 2]) == {"a": 1}
