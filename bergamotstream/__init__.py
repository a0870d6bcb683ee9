"""
bergamotstream
~~~~~~~~~~~~~~

A serving layer for language-model prompts of very unlike lengths.
"""

__version__ = '0.1.0'
