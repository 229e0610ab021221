"""Demo on an embedded fleet: ``python -m mulberryloom_standins.demo``.

All parts run in one process and communicate over loopback sockets.
"""
