"""
Fingerprints
~~~~~~~~~~~~

Numbers of 64 bits that are the same on all hosts: one for a whole request, and
one for each part of its prompt that other requests may share. The lowest bit
tells the two kinds apart.
"""

import hashlib
from typing import Final

import xxhash

from bergamotstream.forwarding import exchangerecords

KIND_BIT: Final = 1
DIGEST_BYTES: Final = 8
# Parts of one prompt that get a fingerprint; callers may list any number.
MAX_PARTS: Final = 16


def identify(job: exchangerecords.Job, body: bytes) -> exchangerecords.Job:
    """Return the job with its fingerprints."""
    return job._replace(fingerprint=of_request(job, body), parts=of_parts(job))


def of_request(job: exchangerecords.Job, body: bytes) -> int:
    """Return the same number for the same request of the same workspace.

    The prompt may be in the body, or only described by headers.
    """
    digest = xxhash.xxh3_64(body)
    digest.update(job.request.target.encode())
    digest.update(_workspace_name(job).encode())
    for part_id in (str(job.request.prompt_tokens), *job.request.prompt_parts):
        digest.update(f'\0{part_id}'.encode())
    return digest.intdigest() & ~KIND_BIT


def of_parts(job: exchangerecords.Job) -> tuple[int, ...]:
    """Return a number for each part of the prompt but the last.

    The last part belongs to the request itself. The same part has another
    number in another workspace or at another service. The hash is a
    cryptographic one, since callers choose the ids of parts and must not be
    able to hit the number of another workspace.
    """
    scope = f'{_workspace_name(job)}\0{job.service.name}\0'
    shared = dict.fromkeys(job.request.prompt_parts[:-1])
    return tuple(
        _digest_of(f'{scope}{part_id}') | KIND_BIT
        for part_id in tuple(shared)[:MAX_PARTS]
    )


def is_part(fingerprint: int) -> bool:
    """Tell whether a fingerprint is that of a part of prompts."""
    return bool(fingerprint & KIND_BIT)


def _workspace_name(job: exchangerecords.Job) -> str:
    return '' if job.workspace is None else job.workspace.name


def _digest_of(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest())
