"""Plans of soak runs repeat, and hold series that overlap."""

import itertools

from tests.soak.plan import PLANNED, UNPLANNED, Plan


class TestPlan:
    def test_seed_gives_the_same_plan(self):
        assert Plan(7, 20.0, 3, 5).actions == Plan(7, 20.0, 3, 5).actions
        assert Plan(7, 20.0, 3, 5).actions != Plan(8, 20.0, 3, 5).actions

    def test_seeds_together_hold_every_kind_within_the_run(self):
        actions = [action for seed in range(10) for action in Plan(seed, 20.0, 3, 5).actions]
        kinds = {action.kind for action in actions}
        assert kinds == {*PLANNED, *UNPLANNED, "configuration", "store", "endpoint"}
        assert all(0.0 <= action.at < 20.0 for action in actions)

    def test_every_second_seed_has_no_unplanned_disruption_of_a_host(self):
        kinds = [{action.kind for action in Plan(seed, 60.0, 3, 5).actions} for seed in (4, 5)]
        assert not kinds[0] & {*UNPLANNED} and kinds[1] & {*UNPLANNED}

    def test_changes_of_the_configuration_come_in_bursts(self):
        times = [a.at for a in Plan(1, 60.0, 3, 5).actions if a.kind == "configuration"]
        assert any(later - earlier < 0.3 for earlier, later in itertools.pairwise(times))
