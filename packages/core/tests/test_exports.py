"""The library can be embedded: it uses no HTTP, no sockets and no clock."""

import ast
import pathlib

import dragonflyslip_core

_FORBIDDEN = {'aiohttp', 'asyncio', 'socket', 'time', 'uvloop', 'datetime'}


class TestImports:
    def test_no_module_imports_io_or_a_clock(self):
        package = pathlib.Path(dragonflyslip_core.__file__).parent
        imported = {
            alias.name.split('.')[0]
            for path in package.glob('**/*.py')
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Import)
            for alias in node.names
        }
        assert not imported & _FORBIDDEN
