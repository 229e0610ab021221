"""Runs the store stand-in: ``python -m mulberryloom_standins.store``."""

import defopt

from .. import serving
from . import server


def main(*, port: int = 2379) -> None:
    """Serve an empty store on loopback until SIGTERM.

    :param port: ``0`` takes any free port; the address is printed.
    """
    serving.run_until_signal(server.StoreServer.from_clock(), port)


if __name__ == '__main__':
    defopt.run(main)
