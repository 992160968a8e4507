"""The JSON objects by which the callers' API shows programs and calls."""

from typing import Any

from pollenwalk.errors import Refusal, RefusalBody, RefusalCode
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import FinishedCall, Program


def view_program(program: Program, *, confirmed: bool = True) -> dict[str, Any]:
    """Return a program's state, budget, calls and history.

    Args:
        program: the program.
        confirmed: whether the owner has just proven that it has no successor;
            otherwise a successor may have changed the program.

    Returns:
        The JSON object.
    """
    return {
        'confirmed': confirmed,
        'id': program.id,
        'program': program.declaration,
        'parent': program.parent or None,
        'state': 'ended' if program.ended else 'running',
        'next_sequence': program.next_sequence,
        'budget': {
            'limit': program.budget.limit,
            'spent': program.budget.spent,
            'left': program.budget.left,
        },
        'calls': [view_finished(call) for call in program.finished.values()],
        'history': [
            {'role': item.role, 'content': item.content}
            for item in program.history.items
        ],
    }


def view_finished(call: FinishedCall) -> dict[str, Any]:
    """Return a finished call without its answer, as a JSON object."""
    return {
        'key': call.key,
        'sequence': call.sequence,
        'upstream': call.upstream,
        'operation': call.operation,
        'outcome': call.refusal.outcome if call.refusal else 'ran',
        'code': call.refusal.code if call.refusal else None,
    }


def view_call(live: LiveProgram, key: str) -> dict[str, Any]:
    """Return a finished call with its answer, or the state of an unfinished one.

    Args:
        live: the program.
        key: the caller's key of the call.

    Returns:
        The JSON object.

    Raises:
        Refusal: the program has no call with this key.
    """
    finished = live.program.finished.get(key)
    if finished is not None:
        return view_answer(finished)
    running = live.calls.get(key)
    if running is None:
        raise Refusal(RefusalCode.UNKNOWN_CALL, f'no call with key {key}')
    return {
        'key': key,
        'sequence': running.request.sequence,
        'state': 'running' if running.running else 'waiting',
        'tokens_so_far': len(running.stream.texts),
    }


def view_answer(finished: FinishedCall) -> dict[str, Any]:
    """Return a finished call with its answer or refusal, as a JSON object."""
    body = {**view_finished(finished), 'state': 'done'}
    if finished.answer is not None:
        body['output'] = finished.answer.output
        body['tokens'] = finished.answer.tokens
    if finished.refusal is not None:
        body['error'] = problem_document(finished.refusal)
    return body


def problem_document(refusal: RefusalBody) -> dict[str, Any]:
    """Return a refusal as `application/problem+json`, without the HTTP status."""
    return {
        'title': refusal.message,
        'code': refusal.code,
        'outcome': refusal.outcome,
        'retry_after_ms': refusal.retry_after_ms,
    }
