"""Checks that the tests named in one section of docs/promises.md exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROMISES_PAGE = (ROOT / 'docs' / 'promises.md').read_text()
SECTION = PROMISES_PAGE.partition('## The gateway on the users')[2]
TEST_IDS = sorted(
    set(re.findall(r'`((?:tests|packages)/[^`]+::[^`]+)`', SECTION))
)


class TestDocumentedGuarantees:
    @pytest.mark.parametrize('test_id', TEST_IDS)
    def test_named_tests_exist(self, test_id):
        # Guards against documented tests that were renamed or removed.
        path, *names = test_id.split('::')
        text = (ROOT / path).read_text()
        assert f'class {names[0]}:' in text
        for name in names[1:]:
            assert f'def {name}(' in text
