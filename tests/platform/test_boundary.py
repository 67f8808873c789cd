"""Names of the platform's protocol occur only in the adapter, which only programs import."""

import re
from pathlib import Path

# ``X-Request-Id`` is not listed: samphirehall's own engine protocol uses that name too.
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


def test_no_platform_name_occurs_outside_the_adapter():
    found = {
        str(path.relative_to(PACKAGE)): match[0]
        for path in sources()
        if (match := NAMES.search(path.read_text()))
    }
    assert not found


def test_only_programs_import_the_adapter():
    users = {
        path.relative_to(PACKAGE).parts[0]
        for path in sources()
        if "samphirehall.platform" in path.read_text()
    }
    assert users <= {"programs"}
