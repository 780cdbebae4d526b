"""Ports for servers that tests start one after the other."""

from dragonflyslip_testing import ports


class TestFreePort:
    def test_port_is_not_given_out_twice(self):
        """Guards against two servers of one test that get the same port.

        Several are asked for before the first one is in use.
        """
        given = [ports.free_port() for _ in range(400)]
        assert len(set(given)) == len(given)
