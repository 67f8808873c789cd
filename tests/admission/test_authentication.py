"""Authentication of callers and authorization of their routes."""

import pytest

from samphirehall.admission.authentication import OPEN_CUSTOMER, authenticate, is_key_valid
from samphirehall.configuration.documents import CustomerPart, RoutePart
from samphirehall.configuration.version import EMPTY_CONFIGURATION, Configuration
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import key_digest

KEY, OTHER_KEY = "sk-samphire-coop", "sk-samphire-school"
CONFIGURATION = Configuration(
    1,
    {
        "customers/coop": CustomerPart(key_digests=[key_digest(KEY)]),
        "customers/school": CustomerPart(
            key_digests=[key_digest(OTHER_KEY)], models=["draft"], routes=["drafts", "answers"]
        ),
        "routes/answers": RoutePart("model", "answer"),
        "routes/drafts": RoutePart("model", "draft"),
        "routes/stock": RoutePart("service", "desk"),
        "routes/hours": RoutePart("service", "desk", open=True),
    },
)


def result_of(key, route, configuration=CONFIGURATION):
    with pytest.raises(SamphireError) as caught:
        authenticate(configuration, key=key, route_name=route)
    return caught.value.result.name


class TestAuthenticate:
    @pytest.mark.parametrize(
        "key, route, customer",
        [
            (KEY, "answers", "coop"),
            (KEY, "stock", "coop"),
            (OTHER_KEY, "drafts", "school"),
            (None, "hours", OPEN_CUSTOMER),
        ],
    )
    def test_returns_the_customer_of_the_key(self, key, route, customer):
        assert authenticate(CONFIGURATION, key=key, route_name=route).customer == customer

    @pytest.mark.parametrize(
        "key, route, result",
        [
            (None, "answers", "key-missing"),
            ("sk-samphire-unknown", "answers", "key-unknown"),
            (KEY, "nothing", "no-route"),
            (OTHER_KEY, "answers", "model-forbidden"),
            (OTHER_KEY, "stock", "model-forbidden"),
        ],
    )
    def test_refuses_invalid_requests(self, key, route, result):
        assert result_of(key, route) == result

    def test_refuses_all_requests_before_the_first_configuration(self):
        assert result_of(KEY, "answers", EMPTY_CONFIGURATION) == "no-configuration"


class TestIsKeyValid:
    def test_key_removed_from_the_configuration_is_invalid(self):
        caller = authenticate(CONFIGURATION, key=KEY, route_name="answers")
        later = CONFIGURATION.with_changes(2, {"customers/coop": CustomerPart()}, ())
        assert is_key_valid(CONFIGURATION, caller)
        assert not is_key_valid(later, caller)
