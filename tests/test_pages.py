"""Compares the operators' pages with the code."""

import pathlib

import pytest

from bergamotstream import celllog, cmdline, errors, gauges, settings, state
from tests import corekit

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def row_of(page, name):
    """Return the table row of a page that begins with a name."""
    rows = (DOCS / page).read_text().splitlines()
    found = [row for row in rows if row.startswith(f'| `{name}` |')]
    assert len(found) == 1, f'{page}: {name} has {len(found)} rows'
    return [cell.strip() for cell in found[0].strip('|').split('|')]


@pytest.mark.parametrize('code', [*errors.all_error_codes(), 'internal_error'])
def test_each_error_code_is_on_its_page(code):
    """Guards against an error that operators cannot look up."""
    status = str(errors.get_error_by_code(code).status)
    assert row_of('errors.md', code)[1] == status


@pytest.mark.parametrize(
    'table',
    [
        settings.Settings,
        settings.Platform,
        settings.Timing,
        settings.Limits,
    ],
    ids=lambda table: table.__name__,
)
def test_each_settings_key_is_on_its_page(table):
    """Guards against a key without its unit and its current default."""
    for key in table._fields:
        if key in {'platform', 'timing', 'limits'}:
            continue
        default = table._field_defaults.get(key)
        shown = row_of('settings.md', key)[2].strip('`')
        if isinstance(default, int | float):
            shown = shown.replace(',', '')
            assert shown == str(default), key
        elif default is not None:
            assert shown == (str(default) if default else 'empty'), key
        else:
            assert shown == 'none, needed', key


def test_commands_gauges_and_log_events_are_on_their_pages():
    """Guards against an undocumented command, metric or log event."""
    pages = ''.join(page.read_text() for page in DOCS.glob('*.md'))
    for command in cmdline.COMMANDS:
        assert command.__name__.replace('_', '-') in pages
    metrics_page = (DOCS / 'metrics.md').read_text()
    shared = state.HostState(corekit.make_settings(), 'i1')
    for series in gauges.read_gauges(shared):
        assert f'`{series.metric}`' in metrics_page, series
    for names in celllog.EVENTS_BY_FIELD.values():
        for name in names:
            assert f'`{name}`' in metrics_page, name
