"""The library can be embedded: it uses no HTTP, no sockets and no clock."""

import ast
import pathlib

import pytest

import dragonflyslip_core
from dragonflyslip_core import rollouts

_FORBIDDEN = {'aiohttp', 'asyncio', 'socket', 'time', 'uvloop', 'datetime'}


class TestImports:
    def test_no_module_imports_io_or_a_clock(self):
        package = pathlib.Path(dragonflyslip_core.__file__).parent
        imported = {
            alias.name.split('.')[0]
            for path in package.rglob('*.py')
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Import)
            for alias in node.names
        }
        assert not imported & _FORBIDDEN


class TestPublicNames:
    @pytest.mark.parametrize('package', [dragonflyslip_core, rollouts])
    def test_each_public_name_exists(self, package):
        # Guards against names that fail only when they are first used.
        for name in package.__all__:
            assert getattr(package, name) is not None
