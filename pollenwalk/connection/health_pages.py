"""Responses of the health checks that all HTTP APIs for operators have."""

from http import HTTPStatus

from starlette.requests import Request
from starlette.responses import JSONResponse, Response


async def healthz(_request: Request) -> Response:
    """Answer `GET /healthz`: the process is running."""
    return JSONResponse({'status': 'ok'})


def readiness_response(*, ready: bool) -> Response:
    """Build the response to `GET /readyz`: 200 if `ready`, else 503."""
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return JSONResponse({'ready': ready}, status_code=status)
