"""Start ``samphire-node``; SIGHUP is ignored until the program handles it."""

import signal


def main() -> None:
    """Ignore SIGHUP, then import and run the program.

    The settings are read only afterwards, and a change of their file is noticed later on.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from samphirehall.programs import node

    node.main()


if __name__ == "__main__":
    main()
