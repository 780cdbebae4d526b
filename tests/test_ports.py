"""Guards against port conflicts between servers that tests start."""

from dragonflyslip_testing import ports


class TestFreePort:
    def test_port_is_not_given_out_twice(self):
        """Guards against two servers of one test getting the same port.

        A test chooses several ports before its first server binds one.
        """
        returned = [ports.free_port() for _ in range(400)]
        assert len(set(returned)) == len(returned)
