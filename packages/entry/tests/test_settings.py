"""Settings: all faults are reported at once, before a socket opens."""

import pathlib
import tomllib

import pytest

from dragonflyslip_entry import cli
from dragonflyslip_entry import errors
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import settings as gateway_settings
from dragonflyslip_entry import settings

GOOD = {
    'name': 'entry-1',
    'failure_domain': 'zone-a',
    'log_url': 'http://10.0.0.5:7000',
    'instances_url': 'http://10.0.0.6:7001',
}
GATEWAY = {
    'name': 'gateway-1',
    'failure_domain': 'zone-a',
    'adapter': 'dragonflyslip_adapter',
    'store_url': 'http://10.0.0.5:7000',
}
GATEWAY_PAGE = (
    pathlib.Path(__file__).parents[3] / 'docs' / 'operators' / 'gateway.md'
)
DEPLOY_FILE = pathlib.Path(__file__).parents[3] / 'deploy' / 'system.toml'
ENTRY_PAGE_TEXT = (
    pathlib.Path(__file__).parents[3] / 'docs' / 'operators' / 'entry.md'
).read_text()


class TestFromSources:
    def test_flag_takes_precedence_over_variable(self):
        options = settings.Settings.from_sources(
            {**GOOD, 'listen': '127.0.0.1:1'},
            {'DRAGONFLYSLIP_LISTEN': '127.0.0.1:2'},
        )
        assert options.listen == '127.0.0.1:1'

    def test_all_faults_are_named_with_flag_variable_and_value(self):
        with pytest.raises(errors.SettingsError) as caught:
            settings.Settings.from_sources(
                {**GOOD, 'listen': 'localhost:80', 'append_rate': '-1'},
                {'DRAGONFLYSLIP_LOG_LEVEL': 'loud'},
            )
        text = caught.value.format_message()
        for part in (
            '--listen (DRAGONFLYSLIP_LISTEN)',
            "'localhost:80'",
            '--append-rate',
            "'-1'",
            '--log-level',
            "'loud'",
        ):
            assert part in text
        assert len(caught.value.faults) == 3

    @pytest.mark.parametrize(
        'endpoint', ['80', ':80', '1.2.3.4', '1.2.3.4:x', '1.2.3.4:70000', '']
    )
    def test_bad_endpoints_are_faults(self, endpoint):
        with pytest.raises(errors.SettingsError):
            settings.Settings.from_sources({**GOOD, 'listen': endpoint}, {})


class TestCommand:
    def test_check_settings_validates_and_stops(self, capsys, monkeypatch):
        flags = [
            f'{flag_settings.flag_name(field)}={value}'
            for field, value in GOOD.items()
        ]
        assert cli.main(['--check-settings', *flags]) == 0
        monkeypatch.delenv('DRAGONFLYSLIP_NAME', raising=False)
        assert cli.main(['--check-settings', *flags[1:]]) == 2
        assert '--name (DRAGONFLYSLIP_NAME)' in capsys.readouterr().err


def _row(setting: flag_settings.Setting) -> str:
    default = 'none' if setting.required else setting.default_text
    return (
        f'| `{flag_settings.flag_name(setting.field)}` '
        f'| `{flag_settings.variable_name(setting.field)}` '
        f'| {default} | {setting.description} |'
    )


class TestPage:
    def test_page_lists_each_setting_with_its_default(self):
        # Guards against a documentation page that is out of date.
        for setting in settings.Settings.settings():
            assert _row(setting) in ENTRY_PAGE_TEXT


class TestGatewayPage:
    def test_table_lists_each_setting(self):
        # Guards against a documentation page that lacks a setting.
        page = GATEWAY_PAGE.read_text()
        for setting in gateway_settings.GatewaySettings.settings():
            assert _row(setting) in page


class TestGatewaySettings:
    @pytest.mark.parametrize(
        ('text', 'seconds'), [('1500ms', 1.5), ('2s', 2.0), ('6', 6.0)]
    )
    def test_durations_are_parsed(self, text, seconds):
        options = gateway_settings.GatewaySettings.from_sources(
            {**GATEWAY, 'stop_timeout': text}, {}
        )
        assert options.stop_timeout == seconds

    @pytest.mark.parametrize('text', ['', '2 minutes', '-1s', '0s', '9h'])
    def test_bad_durations_are_faults(self, text):
        with pytest.raises(errors.SettingsError) as caught:
            gateway_settings.GatewaySettings.from_sources(
                {**GATEWAY, 'stop_timeout': text}, {}
            )
        assert '--stop-timeout' in caught.value.format_message()

    @pytest.mark.parametrize(
        ('field', 'text', 'allowed'),
        [
            ('log_level', 'loud', 'debug, info, warning, error'),
            ('ask_rate', 'nan', '> 0'),
            ('ask_rate', 'fast', 'float'),
            ('planned_entries', '0', '>= 1'),
            ('planned_entries', '2.5', 'int'),
            ('exposure_share', '1.5', '<= 1'),
            ('quota_overage', '-0.1', '>= 0'),
            ('rollback_timeout', '0s', 'more than 0s'),
            ('strict_revoke', 'maybe', 'true or false'),
            ('memory_mb', '-1', '>= 0'),
            ('max_descriptors', '-1', '>= 0'),
            ('repeat_ratio', '2', '<= 1'),
            ('name', 'edge-1\n', 'a-z0-9'),
            ('failure_domain', 'Zone', 'a-z0-9'),
            ('store_url', '10.0.0.5:7000', 'http://HOST:PORT'),
        ],
    )
    def test_fault_says_what_is_allowed(self, field, text, allowed):
        # Guards against a check that reads only the start of a value, and
        # against messages that do not say which values are allowed.
        with pytest.raises(errors.SettingsError) as caught:
            gateway_settings.GatewaySettings.from_sources(
                {**GATEWAY, field: text}, {}
            )
        assert len(caught.value.faults) == 1
        message = caught.value.format_message()
        assert flag_settings.flag_name(field) in message
        assert repr(text) in message
        assert allowed in message

    @pytest.mark.parametrize(
        ('text', 'strict'), [('true', True), ('False', False), ('', False)]
    )
    def test_switch_is_parsed(self, text, strict):
        variable = flag_settings.variable_name('strict_revoke')
        options = gateway_settings.GatewaySettings.from_sources(
            GATEWAY, {variable: text}
        )
        assert options.strict_revoke is strict

    def test_unknown_adapter_is_a_fault(self):
        with pytest.raises(errors.SettingsError) as caught:
            adapters.load_adapter('no_such_module')
        assert '--adapter' in caught.value.format_message()

    def test_command_checks_settings_and_stops(self, capsys):
        argv = [
            f'{flag_settings.flag_name(field)}={value}'
            for field, value in GATEWAY.items()
        ]
        assert cli.main(['gateway', '--check-settings', *argv]) == 0
        assert cli.main(['gateway', '--check-settings']) == 2
        assert '--store-url' in capsys.readouterr().err


class TestDeployFile:
    """Guards against an installation on which no gateway starts."""

    def test_empty_variables_stand_for_the_defaults(self):
        role = tomllib.loads(DEPLOY_FILE.read_text())['roles']['gateway']
        known = {
            flag_settings.variable_name(setting.field)
            for setting in gateway_settings.GatewaySettings.settings()
        }
        assert role['env'] and set(role['env']) <= known
        flags = {**GATEWAY, 'stop_timeout': '1s'}
        options = gateway_settings.GatewaySettings.from_sources(
            flags, dict.fromkeys(known, '')
        )
        plain = gateway_settings.GatewaySettings.from_sources(flags, {})
        assert options == plain

    def test_empty_variable_is_no_value_of_a_required_setting(self):
        with pytest.raises(errors.SettingsError) as caught:
            gateway_settings.GatewaySettings.from_sources(
                {**GATEWAY, 'name': None}, {'DRAGONFLYSLIP_NAME': ''}
            )
        assert 'is required' in caught.value.format_message()
