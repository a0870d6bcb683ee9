"""What may follow in a stream that has been broken off."""

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream.forwarding import continuations, relayedevents

HEAD = continuations.Head(200, 'text/event-stream')
COMMENT = relayedevents.RelayedEvent(b': ping\n\n', '')
NO_MAXIMUM = 0
RULES = hypothesis.settings(max_examples=200, deadline=None, derandomize=True)


def event_of(event_id):
    """Return an event, without an id if that is empty."""
    field = f'id: {event_id}\n' if event_id else ''
    return relayedevents.RelayedEvent(
        f'{field}data: x\n\n'.encode(), str(event_id)
    )


class Caller:
    """A caller with the ids that it has got."""

    def __init__(self):
        self.passed = continuations.PassedEvents()
        self.ids = []

    def start_try(self):
        """Return a try and check its head."""
        started = continuations.Continuation(self.passed, HEAD)
        started.check_head(NO_MAXIMUM)
        return started

    def receive(self, started, event_id):
        """Pass on an event; raises ``WrongContinuation``."""
        event = event_of(event_id)
        started.check(event)
        self.ids.append(event_id)
        started.record(event)

    def is_followed_by(self, event_id):
        """Tell whether an event of another try follows."""
        try:
            self.start_try().check(event_of(event_id))
        except continuations.WrongContinuation:
            return False
        return True


def caller_with(*event_ids):
    """Return a caller that has got the events of one try."""
    caller = Caller()
    started = caller.start_try()
    for event_id in event_ids:
        caller.receive(started, event_id)
    return caller


def is_complete_after(caller, maximum):
    """Tell whether a try without an event completes a stream."""
    try:
        caller.start_try().check_end(maximum)
    except continuations.WrongContinuation:
        return False
    return True


# First id, number of events and whether the target ends the stream properly.
TRIES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.integers(0, 5),
        strategies.booleans(),
    ),
    max_size=6,
)


@RULES
@hypothesis.given(TRIES, strategies.integers(0, 20))
def test_events_are_passed_on_once_and_in_order(tries, maximum):
    """Guards against tries that are joined wrongly, wherever they start."""
    caller = Caller()
    for first_id, count, ends in tries:
        # The first try starts where the stream does.
        first_id = first_id if caller.ids else 1
        started = caller.start_try()
        before = len(caller.ids)
        try:
            for event_id in range(first_id, first_id + count):
                caller.receive(started, event_id)
            if ends:
                started.check_end(maximum)
        except continuations.WrongContinuation:
            assert len(caller.ids) == before
            continue
        assert caller.ids == list(range(1, len(caller.ids) + 1))
        has_ended = ends and bool(caller.ids)
        if has_ended:
            assert len(caller.ids) > before or 0 < maximum <= before


@RULES
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=30))
def test_two_tries_at_once_are_not_mixed(turns):
    """Guards against an event that two tries of a request both bring."""
    caller = caller_with(1, 2)
    tries = {}
    next_ids = {True: 3, False: 3}
    for turn in turns:
        started = tries.setdefault(turn, caller.start_try())
        try:
            caller.receive(started, next_ids[turn])
        except continuations.WrongContinuation:
            continue
        next_ids[turn] += 1
    assert caller.ids == list(range(1, len(caller.ids) + 1))


@RULES
@hypothesis.given(
    strategies.integers(0, 10**6),
    strategies.integers(1, 10**6),
    strategies.integers(2, 20),
    strategies.integers(-(10**7), 10**7),
)
def test_constant_step_tells_gaps_and_repeats(start, step, count, offset):
    """Guards against a gap or a repeat where ids rise by any step."""
    caller = caller_with(*range(start, start + step * count, step))
    last_id = caller.ids[-1]
    if last_id + offset >= 0:
        assert caller.is_followed_by(last_id + offset) is (0 < offset <= step)


@RULES
@hypothesis.given(
    strategies.lists(
        strategies.integers(0, 10**18 - 1), min_size=3, unique=True
    ).map(sorted),
    strategies.integers(0, 10**18 - 1),
)
def test_uneven_steps_tell_repeats_only(event_ids, following):
    """Guards against a cut where the length of a step is not known."""
    steps = {
        after - before
        for before, after in zip(event_ids, event_ids[1:], strict=False)
    }
    hypothesis.assume(len(steps) > 1)
    caller = caller_with(*event_ids)
    assert caller.is_followed_by(following) is (following > event_ids[-1])


TEXT_IDS = strategies.lists(
    strategies.text(min_size=1, max_size=5).filter(
        lambda text: not text.isdecimal()
    ),
    min_size=2,
    max_size=40,
    unique=True,
)


@RULES
@hypothesis.given(TEXT_IDS, strategies.data())
def test_text_ids_tell_repeats_only(event_ids, drawn):
    """Guards against a repeat where ids are no numbers."""
    count = drawn.draw(strategies.integers(1, len(event_ids) - 1))
    start = drawn.draw(strategies.integers(0, len(event_ids) - 1))
    caller = caller_with(*event_ids[:count])
    assert caller.is_followed_by(event_ids[start]) is (start >= count)


@RULES
@hypothesis.given(
    strategies.lists(strategies.text(max_size=6), max_size=8),
    strategies.text(max_size=6),
)
@hypothesis.example(['1'], '9' * 5_000)
@hypothesis.example(['9' * 5_000], '9' * 5_000)
@hypothesis.example(['1', '2'], '\u0663')
@hypothesis.example(['\u0661', '\u0662'], '\u0661')
@hypothesis.example(['1', '2'], '-3')
@hypothesis.example(['1', '2'], '+3')
@hypothesis.example(['1', '2'], '3.0')
def test_any_id_is_judged(event_ids, following):
    """Guards against an id that ends the request with a fault."""
    caller = caller_with(*event_ids)
    if caller.is_followed_by(following) and event_ids:
        assert following not in {'', *event_ids}
        assert event_ids[-1]


@pytest.mark.parametrize('name', ['{0}', 'x{0}'])
def test_memory_of_a_stream_is_bounded(name):
    """Guards against memory that grows with the length of a stream."""
    caller = caller_with(*map(name.format, range(5_000)))
    remembered = caller.passed._remembered
    assert len(remembered) == continuations.MAX_REMEMBERED_IDS
    assert not caller.is_followed_by(name.format(0))
    assert not caller.is_followed_by(name.format(4_999))
    assert caller.is_followed_by(name.format(5_000))


@pytest.mark.parametrize(
    ('first', 'following', 'is_next'),
    [
        ('1', '2', True),
        ('1', '3', False),
        ('0', '1', True),
        ('0', '2', False),
        ('46', '92', True),
        ('46', '93', False),
        ('46', '46', False),
        ('07', '8', True),
        ('1', '01', False),
        ('1', '\u0662', False),
        ('x', '1', True),
        ('1', 'x', False),
    ],
)
def test_single_id_is_compared_with_the_start(first, following, is_next):
    """Guards against a gap after the only event that was passed on."""
    assert caller_with(first).is_followed_by(following) is is_next


@pytest.mark.parametrize(
    ('event_ids', 'maximum', 'is_complete'),
    [
        ((), 0, True),
        ((), 5, True),
        ((1, 2), 0, False),
        ((1, 2), 3, False),
        ((1, 2), 2, True),
        ((1, 2, 3), 2, True),
        (('x', 'y'), 2, True),
    ],
)
def test_end_without_an_event(event_ids, maximum, is_complete):
    """Guards against an early end, and against cutting a whole stream."""
    caller = caller_with(*event_ids)
    assert is_complete_after(caller, maximum) is is_complete


def test_comments_have_no_place():
    """Guards against a comment that counts as an event."""
    caller = Caller()
    first = caller.start_try()
    first.record(COMMENT)
    assert is_complete_after(caller, NO_MAXIMUM)
    caller.receive(first, 1)
    first.record(COMMENT)
    second = caller.start_try()
    second.check(COMMENT)
    second.record(COMMENT)
    assert not second.has_joined
    with pytest.raises(continuations.WrongContinuation):
        second.check_end(NO_MAXIMUM)
    caller.receive(second, 2)
    assert second.has_joined
    second.check_end(NO_MAXIMUM)


@pytest.mark.parametrize(
    'encoded',
    [b'<html>\n\n', b'HTTP/1.1 500 Failed\r\n\r\n', b'retry: 1\n\n', b'id\n\n'],
)
def test_block_that_is_no_comment_does_not_join(encoded):
    """Guards against foreign lines before the first event of a try."""
    caller = caller_with(1, 2)
    block = relayedevents.RelayedEvent(encoded, '')
    with pytest.raises(continuations.WrongContinuation, match='has no id'):
        caller.start_try().check(block)


@pytest.mark.parametrize(
    ('encoded', 'has_place'),
    [
        (b'retry: 100\n\n', False),
        (b'event: ping\r\n\r\n', False),
        (b'database: 1\n\n', False),
        (b'data\n\n', True),
        (b'data:\n\n', True),
        (b'event: token\rdata: x\r\r', True),
    ],
)
def test_event_without_id_is_told_by_its_data(encoded, has_place):
    """Guards against a stream cut for a block that callers ignore."""
    caller = caller_with(1, 2)
    caller.passed.record(relayedevents.RelayedEvent(encoded, ''))
    assert caller.is_followed_by(3) is not has_place


@pytest.mark.parametrize(
    ('status', 'media_type', 'maximum', 'is_accepted'),
    [
        (200, 'text/event-stream', 0, True),
        (201, 'text/event-stream', 0, False),
        (200, 'text/html', 0, False),
        (200, 'application/octet-stream', 0, False),
        (204, 'application/octet-stream', 0, False),
        (204, 'application/octet-stream', 3, False),
        (204, 'application/octet-stream', 2, True),
        (200, 'text/html', 2, False),
    ],
)
def test_head_must_be_that_of_the_first_try(
    status, media_type, maximum, is_accepted
):
    """Guards against a body of another kind in a stream."""
    caller = caller_with(1, 2)
    other = continuations.Continuation(
        caller.passed, continuations.Head(status, media_type)
    )
    try:
        other.check_head(maximum)
    except continuations.WrongContinuation:
        assert not is_accepted
    else:
        assert is_accepted


def test_long_comment_takes_no_long_time():
    """Guards against a line of colons that occupies a host."""
    caller = caller_with(1, 2)
    encoded = b':' * 100_000 + b'\ndata: x\n\n'
    block = relayedevents.RelayedEvent(encoded, '')
    with pytest.raises(continuations.WrongContinuation, match='has no id'):
        caller.start_try().check(block)
