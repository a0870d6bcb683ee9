"""
Answers
~~~~~~~

Text of emulated answers. Each token is a function of the request and its
position, so a caller can check that an answer is whole and its own.
"""

import xxhash


def fingerprint_of(service: str, prompt: str) -> int:
    """Return the fingerprint that hosts compute for a prompt."""
    return xxhash.xxh64_intdigest(f'{service}\n{prompt}'.encode())


def token_text(fingerprint: int, index: int) -> str:
    """Return the text of the token at ``index``, counted from zero."""
    return f'{xxhash.xxh32_hexdigest(f"{fingerprint}/{index}".encode())} '


def answer_text(fingerprint: int, tokens: int) -> str:
    """Return the text of the first ``tokens`` tokens."""
    return ''.join(token_text(fingerprint, index) for index in range(tokens))


def plain_answer(payload: str) -> str:
    """Return the answer of a plain service to ``payload``."""
    return f'answer {xxhash.xxh64_hexdigest(payload.encode())}'
