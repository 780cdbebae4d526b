"""Only the adapter contains names from the platform's protocols."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_TERMS = re.compile(
    r'X-(?:Request-Id|Deadline-Ms|Server-Stamp|Expect-Instance|Instance-Id'
    r'|Server-Load|Not-Executed|Cold-Ms)|log-(?:read|newest|append|join)'
    r'|path_prefix|traffic_split|cold_per_s|keyed\.(?:op|servers|status)'
    r"|'rolled_back'"
    r'|/v1/|X-Tenant-Id|api_keys|tenants'
)
# Versioned paths of the project's own protocols would be allowed, but the
# packages contain none at present.
OWN_PATHS = re.compile(r"'/v1/(?:streams|instances|log)")


def _list_sources() -> list[pathlib.Path]:
    return sorted(ROOT.glob('packages/*/src/**/*.py'))


class TestPlatformTerms:
    @pytest.mark.parametrize(
        'path', _list_sources(), ids=lambda path: path.stem
    )
    def test_packages_use_no_platform_terms(self, path):
        # Guards against wire names of the platform outside the adapter.
        lines = [
            line
            for line in path.read_text().splitlines()
            if PLATFORM_TERMS.search(line) and not OWN_PATHS.search(line)
        ]
        assert lines == []
