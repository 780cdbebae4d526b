"""Client of the platform's list of live and leaving instances.

The list may lag behind the actual state of the instances.
"""

import asyncio
import dataclasses
import typing

import aiohttp
import pydantic
from returns import result

from dragonflyslip_core import bounded_read
from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import targets
from dragonflyslip_platform import client
from dragonflyslip_platform import errors

Kind = typing.Literal['target', 'entry']

MAX_LIST_BYTES = 8_388_608


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One row of the instance list.

    :param instance_id: name of the instance, unique in the list.
    :param service: the target's service; empty for an entry.
    :param address: IP address.
    :param port: the target's HTTP port, or the entry's peer port.
    """

    instance_id: str
    kind: Kind
    service: str
    address: str
    port: int
    failure_domain: str
    state: targets.InstanceState

    def to_target(self) -> targets.Target:
        """Return the target that this row describes."""
        return targets.Target(
            self.instance_id,
            self.service,
            self.address,
            self.port,
            self.failure_domain,
            self.state,
        )


ListResult = result.Result[tuple[ListedInstance, ...], errors.PlatformError]


class InstanceList(typing.Protocol):
    """Interface of the instance list."""

    async def list_instances(self) -> ListResult:
        """Return all listed instances; the list may be out of date."""


class _InstanceModel(pydantic.BaseModel):
    instance_id: str = pydantic.Field(min_length=1, max_length=200)
    kind: Kind
    service: str = ''
    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65_535)
    failure_domain: str = pydantic.Field(min_length=1, max_length=200)
    state: targets.InstanceState

    def to_instance(self) -> ListedInstance:
        return ListedInstance(
            self.instance_id,
            self.kind,
            self.service,
            str(self.address),
            self.port,
            self.failure_domain,
            self.state,
        )


_INSTANCES = pydantic.TypeAdapter(list[_InstanceModel])


class HttpInstanceList(client.HttpClient):
    """HTTP client of the instance list."""

    async def list_instances(self) -> ListResult:
        """Return all rows; an invalid row makes the whole list invalid.

        Using only the valid rows could drop half of the targets.
        """
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.get(
                f'{self.base_url}/instances', timeout=timeout
            ) as response:
                body = await bounded_read.read_at_most(
                    response.content, MAX_LIST_BYTES
                )
                if response.status != 200:
                    return result.Failure(
                        errors.UnavailableError(
                            f'instance list returned status {response.status}'
                        )
                    )
            rows = _INSTANCES.validate_json(body)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return result.Failure(
                errors.UnavailableError(
                    f'instance list request failed: {self.describe(error)}'
                )
            )
        except (ValueError, core_errors.OverlongResponseError) as error:
            return result.Failure(
                errors.BadResponseError(f'invalid instance list: {error}')
            )
        return result.Success(tuple(row.to_instance() for row in rows))
