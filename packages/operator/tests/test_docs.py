"""Guards against operator pages that disagree with the command."""

import pathlib
import re
import shlex
import typing

import pytest

from dragonflyslip_core import models
from dragonflyslip_core import profiles
from dragonflyslip_operator import cli
from dragonflyslip_operator import errors
from dragonflyslip_operator import settings
from dragonflyslip_testing import markdown

PAGES = pathlib.Path(__file__).parents[3] / 'docs' / 'operators'
# Digests differ in every run, since they cover random change ids.
DIGEST = re.compile(r'\b[0-9a-f]{64}\b')


def read_rows(page, heading):
    return markdown.read_table((PAGES / page).read_text(), heading)


def format_value(value):
    """Format numbers with thousands separators and texts as code."""
    if isinstance(value, (int, float)):
        return f'{value:,}'.removesuffix('.0')
    values = [value] if isinstance(value, str) else value
    return ', '.join(f'`{text}`' for text in values)


def format_allowed(field):
    """Format the bounds or the choices of a model's field."""
    bounds = [
        format_value(getattr(bound, side))
        for side in ('ge', 'le')
        for bound in field.metadata
        if hasattr(bound, side)
    ]
    choices = typing.get_args(field.annotation)
    if choices and choices[-1] is Ellipsis:
        choices = typing.get_args(choices[0])
    return ' to '.join(bounds) or format_value(choices)


class TestTables:
    def test_profile_fields_agree_with_the_model(self):
        fields = models.ProfileModel.model_fields
        rows = read_rows('profiles.md', 'field | unit | default')
        assert [[name, *rest] for name, _, *rest, _ in rows] == [
            [f'`{name}`', format_value(field.default), format_allowed(field)]
            for name, field in fields.items()
        ]
        units = {'ms': 'ms', 's': 's', 'percent': '%'}
        for name, unit, *_, meaning in rows:
            suffix = name.strip('`').rpartition('_')[2]
            if suffix in units and '_per_' not in name:
                assert unit.split()[0] == units[suffix], name
            assert meaning

    def test_presets_agree(self):
        rows = read_rows('profiles.md', 'field | `stairlift`')
        assert {
            (name.strip('`'), preset): value
            for name, *values in rows
            for preset, value in zip(profiles.PRESETS, values, strict=True)
            if value != 'default'
        } == {
            (field, preset): format_value(getattr(model, field))
            for preset, model in profiles.PRESETS.items()
            for field in model.model_fields_set
        }

    def test_settings_agree(self):
        rows = read_rows('settings.md', 'flag')
        assert rows == [
            [
                format_value(row.flag),
                format_value(row.variable),
                row.default or 'none',
            ]
            + [row.allowed, row.meaning]
            for row in settings.SETTINGS
        ]

    def test_exit_codes_agree_and_are_in_help(self, capsys):
        rows = read_rows('commands.md', 'code')
        assert rows == [
            [str(code), meaning] for code, meaning in errors.EXIT_CODES.items()
        ]
        for argv in ([], ['profile'], ['domain', 'out']):
            with pytest.raises(SystemExit):
                cli.main([*argv, '--help'])
            text = capsys.readouterr().out
            assert all(meaning in text for _, meaning in rows)


def set_up_page(page, harness):
    """Set up the state that the examples of a page assume."""
    suspect = {
        'fingerprint': '0f3a9c',
        'crashes': [['casebook-7', 'a1'], ['casebook-8', 'c4']],
        'expires_in_s': 512.0,
    }
    for name, domain in (('entry-1', 'a'), ('entry-2', 'b')):
        harness.list_instance(name, domain=f'scot-central-{domain}')
        harness.entries.answers['/suspects'][name] = {'suspects': [suspect]}
        harness.entries.follow(name)
    for name in ('casebook-7', 'casebook-8'):
        harness.list_instance(name, 'target', 'scot-central-b')
    if page == 'outage.md':
        harness.faults.down = True
        for name in ('entry-1', 'entry-2'):
            harness.entries.set_state(name, 12, 'a5' * 32)
    if page == 'take-out.md':
        harness.entries.follow('entry-2', 2)
        # The entry catches up only at 40 s, when the first wait of the page
        # has timed out.
        harness.clock.events.append(
            (40, lambda: harness.entries.follow('entry-2'))
        )


def normalise(lines):
    """Mask digests and sort the lines.

    The order is not compared, since a terminal mixes stdout and stderr.
    """
    return sorted(DIGEST.sub('DIGEST', line) for line in lines)


class TestExamples:
    @pytest.mark.parametrize(
        'page', sorted(path.name for path in PAGES.iterdir())
    )
    def test_examples_print_what_the_page_shows(
        self, page, memory_harness, tmp_path, monkeypatch
    ):
        monkeypatch.chdir(tmp_path)
        text = (PAGES / page).read_text()
        for name, content in markdown.read_files(text).items():
            (tmp_path / name).write_text(content)
        set_up_page(page, memory_harness)
        run = None
        for example in markdown.read_examples(text):
            if example.command == 'echo $?':
                assert example.printed == [str(run.code)]
                continue
            program, *argv = shlex.split(example.command)
            assert program == 'dragonflyslip'
            run = memory_harness.run(*argv)
            lines = (run.stdout + run.stderr).splitlines()
            assert normalise(lines) == normalise(example.printed), (
                example.command
            )
        assert run is not None
