"""The list of models holds only routes that the customer may use and refuses withdrawn keys."""

import msgspec
import pytest

from samphirehall.configuration.documents import CustomerPart, RoutePart
from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.core.identifiers import key_digest
from samphirehall.forwarding.app import EntryApp
from samphirehall.node.facts import FactKind
from tests.support.entry import KEY, ask, entry_context

pytestmark = pytest.mark.anyio


def restricted_context():
    context = entry_context([])
    parts = {
        "customers/coop": CustomerPart(key_digests=[key_digest(KEY)], models=["draft"]),
        "routes/answers": RoutePart("model", "answer"),
        "routes/drafts": RoutePart("model", "draft"),
        "routes/stock": RoutePart("service", "desk"),
    }
    context.state.put_in_force(Configuration(2, parts))
    return context


async def list_models(context):
    return await ask(EntryApp(context), "/v1/models", method="GET")


class TestListModels:
    async def test_lists_only_models_that_the_customer_may_use(self):
        reply = await list_models(restricted_context())
        assert [item["id"] for item in msgspec.json.decode(reply.body)["data"]] == ["drafts"]

    async def test_a_withdrawn_key_is_refused(self):
        context = restricted_context()
        context.state.fact_store.publish(
            FactKind.KEY_WITHDRAWN, key_digest(KEY), True, lifetime=60.0, now=boot_seconds()
        )
        assert (await list_models(context)).status == 401
