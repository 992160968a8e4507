"""Client of a plain service over HTTP: `POST /OPERATION` with a JSON body."""

from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec

from pollenwalk.connection.http_client import HttpClient, read_body
from pollenwalk.errors import Outcome, Refusal, RefusalCode

# Statuses with which a service states that it did not run the operation.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Time after which a caller may repeat a call that the service did not run.
RETRY_AFTER_MS = 500
OUTPUT_DECODER = msgspec.json.Decoder(dict[str, Any])


class HttpService(HttpClient):
    """A client of one plain service; implements `Service`.

    No timeout is set here, as the sidecar limits the duration of the call.
    """

    # A service may close an idle connection just as a request is sent on it. The
    # client could not tell this from a failure after the operation ran.
    reuses_connections = False

    async def invoke(
        self,
        call: str,
        operation: str,
        argument: dict[str, Any],
    ) -> dict[str, Any]:
        """Run an operation once and return its output.

        Raises:
            Refusal: the operation failed or its outcome is unknown. The outcome
                is `not_run` only if the service can't have started it.
        """
        try:
            async with self.open_session().post(
                f'{self.url}/{quote(operation)}',
                json=argument,
                headers={'Idempotency-Key': call},
                timeout=aiohttp.ClientTimeout(total=None),
            ) as response:
                return read_output(response.status, await read_body(response))
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so the service can't have run the operation.
            raise Refusal(
                RefusalCode.UPSTREAM_FAILED,
                f'cannot connect to the service: {error}',
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise unknown_outcome(f'connection to the service lost: {error}') from error


def read_output(status: int, body: bytes) -> dict[str, Any]:
    """Return the output in a service's response.

    Raises:
        Refusal: the service refused, failed, or sent an invalid response.
    """
    if status in NOT_RUN_STATUSES:
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            f'the service answered with status {status}',
            retry_after_ms=RETRY_AFTER_MS,
        )
    is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if is_failure or HTTPStatus.MULTIPLE_CHOICES <= status < HTTPStatus.BAD_REQUEST:
        raise unknown_outcome(f'the service answered with status {status}')
    output = decode_output(body)
    if status >= HTTPStatus.BAD_REQUEST:
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            f'the service answered with status {status}: {output}',
            Outcome.RAN,
        )
    return output


def decode_output(body: bytes) -> dict[str, Any]:
    """Decode the JSON object in a service's response.

    Raises:
        Refusal: the body is not a JSON object; the outcome is unknown.
    """
    try:
        return OUTPUT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise unknown_outcome(f'the service response is invalid: {error}') from error


def unknown_outcome(text: str) -> Refusal:
    """Return a refusal that leaves open whether the service ran the operation."""
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, text, Outcome.UNKNOWN)
