"""Adds this folder to the import path, for the test harness."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
