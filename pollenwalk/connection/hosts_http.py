"""The platform's list of hosts over HTTP.

    GET /hosts   {"ADDRESS": "live" | "leaving", …}

The list lags, so it is a hint: a host that it calls leaving gets no new work,
and nothing is concluded from one that it lacks.
"""

import aiohttp
import msgspec

from pollenwalk.connection.http_client import HttpClient
from pollenwalk.errors import ConnectionLost

ANSWER_TIMEOUT_S = 2
LEAVING = 'leaving'
DECODER = msgspec.json.Decoder(dict[str, str])


class HttpHosts(HttpClient):
    """A client of the host list."""

    async def fetch_leaving(self) -> list[str]:
        """Give the IP addresses of leaving hosts.

        Raises:
            ConnectionLost: no answer, or one that makes no sense.
        """
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        try:
            async with self.open_session().get(
                f'{self.url}/hosts',
                timeout=timeout,
                raise_for_status=True,
            ) as response:
                return leaving_in(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLost(f'host list: {error}') from error


def leaving_in(body: bytes) -> list[str]:
    """Read the leaving hosts off a list."""
    try:
        states = DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f'host list: {error}') from error
    return [address for address, state in states.items() if state == LEAVING]
