"""Cap'n Proto schema of the messages, loaded at import time.

No code is generated from it.
"""

import pathlib

import capnp

SCHEMA_PATH = pathlib.Path(__file__).with_name('mulberryloom.capnp')

#: Loaded schema; its structs and enums are attributes.
module = capnp.load(str(SCHEMA_PATH))
