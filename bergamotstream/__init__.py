"""
bergamotstream
~~~~~~~~~~~~~~

A serving layer for language-model prompts of widely different lengths.
"""

from bergamotstream import version

__version__ = version.BUILD
