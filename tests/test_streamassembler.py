"""Assembly of answers."""

import random

from bergamotstream import streamassembler


def test_shuffled_and_stray_chunks_give_the_whole_answer():
    """Guards against lost, repeated, reordered or foreign tokens.

    Chunks arrive in random order, overlap, and include chunks of an earlier
    attempt and of another request.
    """
    tokens = tuple(f't{number}' for number in range(60))
    for seed in range(50):
        rng = random.Random(seed)
        chunks = [
            streamassembler.Chunk('r1', 'a1', start, tokens[start : start + 7])
            for start in range(0, 60, 5)
        ]
        chunks.extend(chunk._replace(attempt_id='a0') for chunk in chunks[:4])
        chunks.extend(chunk._replace(request_id='r2') for chunk in chunks[:4])
        rng.shuffle(chunks)
        assembler = streamassembler.StreamAssembler('r1')
        assembler.switch_attempt('a1')
        assembled = []
        for chunk in chunks:
            assembled.extend(assembler.accept(chunk))
        assert tuple(assembled) == tokens
