"""Bodies, bundles and events that nest too deep, in the stand-alone mode."""

import zlib

import pytest

from bergamotstream import bundleformat, errors, eventstream, httpbodies
from bergamotstream.engines import model

DEEP = b'[' * 100_000


def test_deep_body_of_a_caller_is_refused():
    """Guards against a fault of the program for what a caller sends."""
    with pytest.raises(errors.InvalidRequest):
        httpbodies.parse_object(DEEP)


@pytest.mark.parametrize('content', [DEEP, zlib.compress(DEEP)])
def test_deep_bundle_of_a_peer_is_refused(content):
    """Guards against a host that ends by what a peer sends."""
    with pytest.raises(errors.InvalidBundle):
        bundleformat.decode_bundle(content)


def test_deep_event_of_an_engine_is_refused():
    """Guards against a request that ends without a typed error."""
    with pytest.raises(ValueError):
        eventstream._decode_block(b'data: ' + DEEP)


def test_deep_answer_of_an_engine_is_refused():
    """Guards against a request that ends without a typed error."""
    with pytest.raises(ValueError):
        model._decode_object(DEEP)
