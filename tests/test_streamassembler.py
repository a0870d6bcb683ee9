"""Assembly of answers."""

import random

from bergamotstream import streamassembler


def test_random_order_and_strays_give_the_whole_answer():
    """Guards against lost, doubled, foreign or crossed tokens."""
    tokens = tuple(f't{number}' for number in range(60))
    for seed in range(50):
        source = random.Random(seed)
        chunks = [
            streamassembler.Chunk('r1', 'a1', start, tokens[start : start + 7])
            for start in range(0, 60, 5)
        ]
        chunks.extend(chunk._replace(attempt_id='a0') for chunk in chunks[:4])
        chunks.extend(chunk._replace(request_id='r2') for chunk in chunks[:4])
        source.shuffle(chunks)
        assembler = streamassembler.StreamAssembler('r1')
        assembler.switch_attempt('a1')
        seen = []
        for chunk in chunks:
            seen.extend(assembler.accept(chunk))
        assert tuple(seen) == tokens
