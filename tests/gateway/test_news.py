"""News that hosts send each other, in datagrams that fit one packet."""

from samphirehall.gateway.news import FACT_SENDS, NewsQueue
from samphirehall.gateway.zone_messages import News, encode_message

PACKET_BYTES = 1472  # of an Ethernet frame, without the headers of IP and UDP
PARTS = tuple(f"5c1e07a2b3d{number:x}" for number in range(8))


def sent(queue, datagrams):
    return [queue.take() for _ in range(datagrams)]


class TestCrashReports:
    def test_parts_of_a_crash_under_many_prompts_are_each_sent_three_times(self):
        queue = NewsQueue()
        for number in range(20):
            parts = ("common", f"session-{number}")
            queue.add(News(part_crashes=[("e1/1", 0.01 + number, parts)]))
        reports = [crash for news in sent(queue, 10) for crash in news.part_crashes]
        assert {endpoint for endpoint, _, _ in reports} == {"e1/1"}
        parts = [part for _, _, parts in reports for part in parts]
        assert len(parts) == 21 * FACT_SENDS and len(set(parts)) == 21
        assert min(age for _, age, _ in reports) == 0.01

    def test_news_after_the_crash_of_busy_engines_fit_one_packet(self):
        queue = NewsQueue()
        for number in range(30):
            incarnation = f"i-8e60d01a{number:02}/1768033234458"
            queue.add(
                News(
                    [("i-8e60d01aef", [(part, 13_300) for part in PARTS[:3]])],
                    [],
                    [(2**64 - 1 - number, incarnation)],
                    [(incarnation, 0.0123456789, PARTS)],
                    [f"{PARTS[0]}{number}"],
                )
            )
        assert all(len(encode_message(news)) <= PACKET_BYTES for news in sent(queue, 50))
