"""Settings files of the platform: any bounds, reloads, and real processes."""

import asyncio
import contextlib
import math
import signal

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import errors
from bergamotstream.forwarding import hostsettings
from bergamotstream.platform import bootsettings
from standins import platformstore, serving
from tests import hostprocesskit, oddkit
from tests import platformkit as kit

# The bounds of the large deployment's small twin.
TWIN_BOUNDS = {
    'grace_s': 8.0,
    'budget_ratio': 0.2,
    'budget_window_s': 10.0,
    'budget_slack': 38.333333333333336,
    'config_apply_ms': 4_000,
    'contact_ms': 5_000,
    'free_ms': 4_000,
    'hold_max_ms': 20_000,
    'ttl_max_s': 5,
}
SENSELESS = (-1, math.nan, math.inf, -math.inf, True, '8', [8], {})
FIGURES = strategies.one_of(
    strategies.integers(-10, 100_000),
    strategies.floats(),
    strategies.booleans(),
    strategies.text(max_size=3),
    strategies.none(),
)


def decode(**bounds):
    """Return the settings with these bounds."""
    return bootsettings.decode(oddkit.SETTINGS | {'bounds': bounds})


@pytest.mark.parametrize(
    'key', [name for name in TWIN_BOUNDS if not name.endswith('_ms')]
)
def test_each_figure_may_be_a_fraction(key):
    """Guards against hosts that do not start for a fraction in a bound."""
    loaded = decode(**(TWIN_BOUNDS | {key: 1.25}))
    assert not loaded.faults


def test_times_are_read_in_their_units():
    """Guards against a time that is a thousand times too short."""
    bounds = decode(**(TWIN_BOUNDS | {'grace_s': 7.5})).host.bounds
    assert bounds.stop_grace_ms == 7_500
    assert bounds.address_ttl_max_ms == 5_000
    assert bounds.apply_ms == 4_000


@pytest.mark.parametrize('figure', SENSELESS, ids=repr)
@pytest.mark.parametrize('key', TWIN_BOUNDS)
def test_senseless_figure_gets_its_default(key, figure):
    """Guards against one odd figure that stops all hosts, or is believed."""
    loaded = decode(**(TWIN_BOUNDS | {key: figure}))
    (fault,) = loaded.faults
    assert fault.field == f'bounds.{key}'
    assert fault.reason and fault.remedy
    changed = [
        field
        for field in hostsettings.Bounds._fields
        if getattr(loaded.host.bounds, field)
        != getattr(decode(**TWIN_BOUNDS).host.bounds, field)
    ]
    defaults = hostsettings.Bounds()
    for field in changed:
        expected = getattr(defaults, field)
        assert getattr(loaded.host.bounds, field) == expected


def test_missing_bounds_do_not_stop_a_host():
    """Guards against hosts that all end because of an optional figure."""
    loaded = bootsettings.decode(oddkit.SETTINGS)
    assert loaded.host.bounds == hostsettings.Bounds()
    assert {fault.field for fault in loaded.faults} == {
        f'bounds.{key}' for key in TWIN_BOUNDS
    }


@hypothesis.settings(deadline=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*TWIN_BOUNDS, 'unknown']), FIGURES
    )
)
def test_any_bounds_give_durations_in_their_order(bounds):
    """Guards against a duration that breaks the bound that it serves."""
    found = bootsettings.decode(
        oddkit.SETTINGS | {'bounds': bounds}
    ).host.bounds
    assert 0 <= found.max_outdated_ms < found.apply_ms
    assert 0 < found.memory_lease_ms < found.memory_free_ms
    assert found.memory_lease_ms <= found.memory_lease_max_ms
    assert found.unheard_listing_ms < found.contact_ms + 3_000
    assert found.stop_grace_ms > 0
    assert math.isfinite(found.retry_slack)


@contextlib.asynccontextmanager
async def running_host(tmp_path, change):
    """Yield a host process whose settings file was changed, and its store."""
    fleet_store = platformstore.PlatformStore(
        serving.parse_address(kit.address())
    )
    await fleet_store.start()
    await fleet_store.put('op/config', kit.configuration_document())
    address = '{0}:{1}'.format(*fleet_store._listener._address)
    host = hostprocesskit.HostProcess(tmp_path, 'host-1', address)
    host.settings.write_text(change(host.settings.read_text()))
    host.start()
    try:
        await until_logged(host, 'readiness')
        yield host
    finally:
        host.process.kill()
        host.process.wait()
        await fleet_store.stop()


async def until_logged(host, text, times=1):
    """Return the log once it has a text so many times."""
    async with asyncio.timeout(20):
        while host.log.read_text().count(text) < times:
            assert host.process.poll() is None, host.log.read_text()
            await asyncio.sleep(0.05)
    return host.log.read_text()


async def test_process_starts_with_fractions(tmp_path):
    """Guards against the large deployment's twins, where no host started."""
    async with running_host(
        tmp_path,
        lambda text: text.replace(
            'budget_slack = 100', 'budget_slack = 38.333333333333336'
        ),
    ) as host:
        assert 'setting_refused field=bounds.budget_slack' not in (
            host.log.read_text()
        )


async def test_process_names_a_senseless_figure_and_serves(tmp_path):
    """Guards against a default that is used without a word."""
    async with running_host(
        tmp_path, lambda text: text.replace('grace_s = 8', 'grace_s = nan')
    ) as host:
        logged = host.log.read_text()
        assert 'setting_refused' in logged
        assert 'bounds.grace_s' in logged


async def test_reload_applies_bounds_and_refuses_senseless_ones(tmp_path):
    """Guards against a host that ends, or goes on with half of a bad file."""

    def complete(text):
        others = ''.join(
            f'{key} = {TWIN_BOUNDS[key]}\n'
            for key in TWIN_BOUNDS
            if f'{key} =' not in text
        )
        return text.replace('[bounds]\n', f'[bounds]\n{others}')

    async with running_host(tmp_path, complete) as host:
        valid = host.settings.read_text()
        for reloads, (changed, outcome) in enumerate(
            (
                (
                    valid.replace('grace_s = 8', 'grace_s = -1'),
                    'bounds.grace_s',
                ),
                ('not toml [', 'outcome=refused detail='),
                (
                    valid.replace('grace_s = 8', 'grace_s = 6.5'),
                    'outcome=applied',
                ),
            ),
            1,
        ):
            host.settings.write_text(changed)
            host.process.send_signal(signal.SIGHUP)
            await until_logged(host, 'event=reload', reloads)
            assert outcome in host.log.read_text()


def test_required_field_is_named():
    """Guards against a process that ends without naming the field."""
    with pytest.raises(errors.InvalidSettings, match='node_name'):
        bootsettings.decode(oddkit.SETTINGS | {'node_name': 5})


@pytest.mark.parametrize(
    ('contracts', 'switches', 'expected'),
    [
        ([], '', (True, False, False)),
        (['base', 'pressure'], '', (True, True, True)),
        (['pressure'], 'target_pacing=off', (True, True, False)),
        ('pressure', 'fair_waiting=off', (False, False, False)),
    ],
)
def test_features_follow_the_settings(contracts, switches, expected):
    """Guards against decisions that no setting has asked for."""
    loaded = bootsettings.decode(
        oddkit.SETTINGS | {'contracts': contracts}, switches
    )
    assert loaded.host.features == expected


def test_unknown_switch_stops_no_host():
    """Guards against a host that does not start for a misspelt feature."""
    loaded = bootsettings.decode(oddkit.SETTINGS, 'pacing=on,fair_waiting=1')
    assert loaded.host.features == hostsettings.Features()
    fields = [fault.field for fault in loaded.faults]
    assert fields.count(bootsettings.FEATURES_VARIABLE) == 2
