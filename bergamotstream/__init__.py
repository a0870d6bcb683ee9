"""
bergamotstream
~~~~~~~~~~~~~~

A serving layer for language-model prompts of widely different lengths.
"""

__version__ = '0.1.0'
