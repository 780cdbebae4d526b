"""A gateway that restarts serves again as soon as it can."""

import pathlib
import shutil
import subprocess
import sys

import dragonflyslip_core

_ROOT = pathlib.Path(__file__).parents[1]
_LOADED = """
import sys
import dragonflyslip_adapter
import dragonflyslip_entry.cli
import dragonflyslip_entry.gateway.daemon
print('\\n'.join(sys.modules))
"""
# What only the entry with its own log and instance list needs.
_UNUSED = {
    'dragonflyslip_core.blackboard',
    'dragonflyslip_core.changes',
    'dragonflyslip_core.claims',
    'dragonflyslip_core.config',
    'dragonflyslip_core.models',
    'dragonflyslip_core.warmup',
    'dragonflyslip_entry.daemon',
    'pydantic',
}


class TestImportsOfGateway:
    def test_modules_of_other_programs_are_not_imported(self):
        """Guards against restarts that take longer than they need to."""
        run = subprocess.run(
            [sys.executable, '-c', _LOADED],
            capture_output=True,
            text=True,
            check=True,
        )
        assert not _UNUSED & set(run.stdout.split())


class TestPublicNames:
    def test_each_name_is_found_in_its_module(self):
        """Guards against a name whose module no longer has it."""
        for name in dragonflyslip_core.__all__:
            assert getattr(dragonflyslip_core, name) is not None

    def test_unknown_name_is_an_attribute_error(self):
        assert not hasattr(dragonflyslip_core, 'NoSuchName')


class TestBuild:
    def test_own_packages_are_compiled(self, tmp_path):
        """Guards against compiling at each start of a read-only checkout."""
        for name in ('packages', 'platform', 'deploy'):
            shutil.copytree(
                _ROOT / name,
                tmp_path / name,
                ignore=shutil.ignore_patterns('__pycache__', 'tests'),
            )
        shutil.copy(_ROOT / 'requirements.lock', tmp_path)
        target = tmp_path / 'target'
        (target / 'deps').mkdir(parents=True)
        # The libraries count as installed, so nothing is fetched.
        (target / 'requirements.sum').write_text(
            subprocess.run(
                ['sh', '-c', 'printf %s "$(cksum requirements.lock)"'],
                cwd=tmp_path,
                capture_output=True,
                text=True,
                check=True,
            ).stdout
        )
        subprocess.run(['sh', 'deploy/build.sh'], cwd=tmp_path, check=True)
        for package in (target / 'deps').glob('dragonflyslip_*'):
            sources = {path.stem for path in package.glob('*.py')}
            compiled = {
                path.name.partition('.')[0]
                for path in package.glob('__pycache__/*.pyc')
            }
            assert compiled == sources, package.name
