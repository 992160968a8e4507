"""Client of the platform's list of hosts over HTTP.

    GET /hosts   {"ADDRESS": "live" | "leaving", …}

The list lags behind the hosts' state, so it is only a hint: a host listed as
leaving gets no new calls, but nothing is concluded from a missing host.
"""

import aiohttp
import msgspec

from pollenwalk.connection.http_client import HttpClient
from pollenwalk.errors import ConnectionLost

RESPONSE_TIMEOUT_S = 2
LEAVING = 'leaving'
DECODER = msgspec.json.Decoder(dict[str, str])


class HttpHosts(HttpClient):
    """A client of the host list; implements `HostList`."""

    async def fetch_leaving(self) -> list[str]:
        """Fetch the IP addresses of the hosts that are leaving.

        Raises:
            ConnectionLost: the request failed, took longer than
                RESPONSE_TIMEOUT_S, or returned an invalid list.
        """
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        try:
            async with self.open_session().get(
                f'{self.url}/hosts',
                timeout=timeout,
                raise_for_status=True,
            ) as response:
                return parse_leaving(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLost(f'host list: {error}') from error


def parse_leaving(body: bytes) -> list[str]:
    """Return the addresses of the leaving hosts in an encoded list.

    Raises:
        ConnectionLost: the list can't be decoded.
    """
    try:
        states = DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f'host list: {error}') from error
    return [address for address, state in states.items() if state == LEAVING]
