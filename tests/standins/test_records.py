"""Records of the calls that a stand-in received."""

import anyio
import httpcore
import pytest

from demo.ports import free_ports
from samphirehall.core.serving import serving
from samphirehall.standins.records import read_records, record_calls
from samphirehall.standins.service import ServiceStandin

pytestmark = pytest.mark.anyio


@pytest.fixture
def path(tmp_path):
    return tmp_path / "records.jsonl"


@pytest.fixture
async def address(path):
    address = f"127.0.0.1:{free_ports(1)[0]}"
    async with serving(record_calls(ServiceStandin("desk-1").app(), str(path)), address):
        yield address


class TestRecorded:
    async def test_call_is_kept_with_its_answer(self, address, path):
        async with httpcore.AsyncConnectionPool() as pool:
            headers = {"x-request-id": "req-1"}
            url = f"http://{address}/freight"
            await pool.request("POST", url, headers=headers, content=b"lot 14")
        (record,) = read_records(path)
        assert (record.request_id, record.path, record.body) == ("req-1", "/freight", "lot 14")
        assert record.status == 200 and "lot 14" in record.answer

    @pytest.mark.parametrize(
        ("headers", "url", "body"),
        [
            ({"authorization": "Bearer x"}, "/a", b""),
            ({"x-other": "sk-samphire-x"}, "/a", b""),
            ({}, "/a?k=sk-samphire-x", b""),
            ({}, "/a", b"sk-samphire-x"),
        ],
    )
    async def test_key_is_noticed_wherever_it_is(self, address, path, headers, url, body):
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("POST", f"http://{address}{url}", headers=headers, content=body)
        (record,) = read_records(path)
        assert record.key_seen

    async def test_call_without_its_whole_body_leaves_no_record(self, address, path):
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"POST /freight HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab")
        await anyio.sleep(0.1)
        assert read_records(path) == []
