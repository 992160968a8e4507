"""Responses of the callers' API: problem documents, JSON answers and events."""

from http import HTTPStatus
from typing import Any

import msgspec
from starlette.responses import JSONResponse, Response

from pollenwalk.connection.call_messages import Answer
from pollenwalk.connection.program_messages import CallProgram
from pollenwalk.errors import Refusal, RefusalBody, RefusalCode
from pollenwalk.program.view import problem_document

PROBLEM_MEDIA_TYPE = 'application/problem+json'
MS_PER_SECOND = 1000

# Statuses of refusals by code; all others get 503.
STATUSES: dict[str, HTTPStatus] = {
    RefusalCode.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalCode.KEY_MISSING: HTTPStatus.BAD_REQUEST,
    RefusalCode.UNKNOWN_PROGRAM: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_CALL: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_DECLARATION: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_UPSTREAM: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_OPERATION: HTTPStatus.NOT_FOUND,
    RefusalCode.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalCode.SEQUENCE_TAKEN: HTTPStatus.CONFLICT,
    RefusalCode.SEQUENCE_GAP: HTTPStatus.CONFLICT,
    RefusalCode.PROGRAM_ENDED: HTTPStatus.CONFLICT,
    RefusalCode.CANCELLED: HTTPStatus.CONFLICT,
    RefusalCode.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
    RefusalCode.LOOP_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalCode.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalCode.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalCode.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
}


def refusal_response(refusal: Refusal) -> Response:
    """Build the response for a refusal, with a problem document as its body."""
    headers = {}
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // MS_PER_SECOND)
        headers['Retry-After'] = str(seconds)
    status = STATUSES.get(refusal.code, HTTPStatus.SERVICE_UNAVAILABLE)
    body = {
        'status': int(status),
        **problem_document(RefusalBody.from_refusal(refusal)),
    }
    return JSONResponse(
        body,
        status_code=status,
        headers=headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )


def answer_body(message: CallProgram, answer: Answer) -> dict[str, Any]:
    """Return the JSON object for a call's answer."""
    return {
        'key': message.key,
        'sequence': message.sequence,
        'outcome': 'ran',
        'output': answer.output,
        'tokens': answer.tokens,
    }


def encode_event(name: str, body: dict[str, Any]) -> bytes:
    """Encode a server-sent event with a JSON body."""
    return b'event: %b\ndata: %b\n\n' % (name.encode(), msgspec.json.encode(body))
