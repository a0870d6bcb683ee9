"""
Version
~~~~~~~

The version of the package, which hosts log as their build.
"""

from typing import Final

BUILD: Final = '0.1.0'
