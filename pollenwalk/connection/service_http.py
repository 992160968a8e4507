"""A plain service over HTTP: `POST /OPERATION` with a JSON body."""

from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec

from pollenwalk.connection.http_client import HttpClient
from pollenwalk.errors import Outcome, Refusal, RefusalCode

NOT_BEGUN = frozenset(
    (
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
RETRY_AFTER_MS = 500
OUTPUT_DECODER = msgspec.json.Decoder(dict[str, Any])


class HttpService(HttpClient):
    """A client of one plain service.

    The call's timeout is the sidecar's, so none is set here.
    """

    # A request on a kept connection that the service has just closed could
    # not be told from one that ran.
    reuses_connections = False

    async def invoke(
        self,
        call: str,
        operation: str,
        argument: dict[str, Any],
    ) -> dict[str, Any]:
        """Run an operation once."""
        try:
            async with self.open_session().post(
                f'{self.url}/{quote(operation)}',
                json=argument,
                headers={'Idempotency-Key': call},
                timeout=aiohttp.ClientTimeout(total=None),
            ) as response:
                return read_output(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so the service can't have begun.
            raise Refusal(
                RefusalCode.UPSTREAM_FAILED,
                f'the service takes no connection: {error}',
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise unknown(f'the connection broke: {error}') from error


def read_output(status: int, body: bytes) -> dict[str, Any]:
    """Read a service's answer.

    Raises:
        Refusal: it refused, failed, or sent garbage.
    """
    if status in NOT_BEGUN:
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            f'the service answered {status}',
            retry_after_ms=RETRY_AFTER_MS,
        )
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise unknown(f'the service answered {status}')
    output = decode_output(body)
    if status >= HTTPStatus.BAD_REQUEST:
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            f'the service answered {status}: {output}',
            Outcome.RAN,
        )
    return output


def decode_output(body: bytes) -> dict[str, Any]:
    """Decode a service's JSON object; raises `Refusal` for garbage."""
    try:
        return OUTPUT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise unknown(f'the service sent garbage: {error}') from error


def unknown(text: str) -> Refusal:
    """Refuse without knowing whether the service acted."""
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, text, Outcome.UNKNOWN)
