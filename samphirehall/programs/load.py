"""``samphire-load``: the load and experiment tool."""


def main() -> None:
    """Entry point of the binary."""
    raise SystemExit("samphire-load: not built yet")
