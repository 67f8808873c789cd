"""Tests of the addresses that tests serve on."""

from tests.support.ports import free_address


class TestFreeAddress:
    # Guards against tests whose second server finds its address in use.
    def test_addresses_taken_before_any_is_served_are_all_different(self):
        addresses = [free_address() for _ in range(500)]
        assert len(set(addresses)) == len(addresses)
