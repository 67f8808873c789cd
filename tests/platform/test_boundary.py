"""The platform's names stand in the adapter alone, and only programs use it."""

import re
from pathlib import Path

# ``X-Request-Id`` is left out: the product's own engine protocol has had it from the start.
PACKAGE = Path(__file__).parents[2] / "samphirehall"
ADAPTER = PACKAGE / "platform"
NAMES = re.compile(
    r"X-(Deadline-Ms|Response-Stamp|Token-Counts|Prompt-Prefix|Not-Executed"
    r"|Expect-Instance|Instance-Id|Stage|Kv-|Pin-Ms|Duty-Holder|Fence-Token|Request-Urgency"
    r"|Weight-Versions|Tenant\b|Key\b)|Kv-Fetch|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)"
    r"|kv-(events|handle|list|move|pin)|hold-(take|drop)|SAMPHIREHALL_BOOT",
    re.IGNORECASE,
)


def sources():
    return [path for path in PACKAGE.rglob("*.py") if ADAPTER not in path.parents]


def test_no_name_of_the_platform_stands_outside_the_adapter():
    found = {
        str(path.relative_to(PACKAGE)): match[0]
        for path in sources()
        if (match := NAMES.search(path.read_text()))
    }
    assert not found


def test_only_programs_use_the_adapter():
    users = {
        path.relative_to(PACKAGE).parts[0]
        for path in sources()
        if "samphirehall.platform" in path.read_text()
    }
    assert users <= {"programs"}
