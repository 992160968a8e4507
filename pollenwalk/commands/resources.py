"""Subcommands for resources and settings, such as `check`, `apply` and `get`."""

import argparse
import asyncio
import configparser
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from pollenwalk.commands.operator_store import open_store
from pollenwalk.commands.options import (
    add_store_options,
    split_resource_name,
)
from pollenwalk.errors import UserError
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.resource_client import ResourceClient
from pollenwalk.process.settings import ROLES, default_text, read_settings
from pollenwalk.version.fields import InvalidFile, read_text
from pollenwalk.version.resources import (
    Kind,
    Resource,
    ResourceId,
    parse_resources,
)

EXIT_FAILED = 1


class ParsedResource(NamedTuple):
    """A valid resource of a resource file.

    Attributes:
        resource: the resource.
        keys: its keys as they are written in the file.
    """

    resource: Resource
    keys: dict[str, str]


def add_parser(subparsers: Any) -> None:
    """Add all subcommands for resources and settings."""
    check = subparsers.add_parser(
        'check',
        help='check resource files or a settings file and print all errors',
    )
    check.add_argument('files', nargs='*', type=Path, metavar='FILE')
    check.add_argument('--settings', type=Path, metavar='FILE')
    check.add_argument(
        '--role',
        choices=tuple(ROLES),
        default='entry',
        help='role of the process that the settings are for (default entry)',
    )
    check.set_defaults(run=run_check)
    apply = subparsers.add_parser(
        'apply',
        help='write resources and wait until each is accepted or refused',
        description=(
            'Writes the resources of the files by conditional updates and waits '
            'until an entry has accepted each or refused it with a reason.'
        ),
    )
    add_store_options(apply)
    apply.add_argument('files', nargs='+', type=Path, metavar='FILE')
    apply.add_argument(
        '--version',
        type=int,
        help=(
            'update only if the stored resource has this version; the files must '
            'contain exactly one resource'
        ),
    )
    apply.set_defaults(run=run_apply)
    get = subparsers.add_parser('get', help='print resources and their specs in force')
    add_store_options(get)
    get.add_argument('names', nargs='*', metavar='Kind/name')
    get.set_defaults(run=run_get)
    delete = subparsers.add_parser('delete', help='delete a resource')
    add_store_options(delete)
    delete.add_argument('name', metavar='Kind/name')
    delete.set_defaults(run=run_delete)
    watch = subparsers.add_parser(
        'watch', help='print acceptance statuses, the stored ones first'
    )
    add_store_options(watch)
    watch.set_defaults(run=run_watch)
    settings = subparsers.add_parser('settings', help='print the default settings')
    settings.set_defaults(run=run_settings)


def read_files(paths: list[Path]) -> list[ParsedResource]:
    """Read and validate resource files.

    Raises:
        InvalidFile: files have errors; lists those of all files.
        UserError: a file can't be read.
    """
    parsed_resources = []
    problems = []
    for path in paths:
        try:
            parsed_resources.extend(read_file(path))
        except InvalidFile as error:
            problems.extend(error.problems)
    if problems:
        raise InvalidFile(problems)
    return parsed_resources


def read_file(path: Path) -> Iterator[ParsedResource]:
    """Yield the resources of one file.

    Raises:
        InvalidFile: the file has errors; lists all of them.
        UserError: the file can't be read.
    """
    text = read_text(path)
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#', ';'),
    )
    resources = parse_resources(text, str(path))
    parser.read_string(text)
    for resource in resources:
        section = f'{resource.id.kind} {resource.id.name}'
        yield ParsedResource(resource, dict(parser[section]))


def run_check(options: argparse.Namespace) -> int:
    """Validate files; nothing is written to the store."""
    if options.settings:
        read_settings(options.settings, options.role)
        sys.stdout.write(f'{options.settings}: settings are valid\n')
    for parsed in read_files(options.files):
        resource_id = parsed.resource.id
        sys.stdout.write(f'{resource_id.kind}/{resource_id.name}: valid\n')
    return 0


def run_apply(options: argparse.Namespace) -> int:
    """Write the resources of files and print whether each was accepted.

    Raises:
        UserError: a file is invalid or can't be read, or `--version` is given
            and the files don't contain exactly one resource.
    """
    parsed_resources = read_files(options.files)
    if options.version is not None and len(parsed_resources) != 1:
        raise UserError('--version requires exactly one resource in the files')
    return asyncio.run(apply_resources(options, parsed_resources))


async def apply_resources(
    options: argparse.Namespace, parsed_resources: list[ParsedResource]
) -> int:
    """Write resources and print whether each was accepted.

    Programs are written last because they refer to upstreams.

    Returns:
        0 if all were accepted; 1 if one was refused or not evaluated before the
        timeout of `ResourceClient.wait_for_status`.
    """
    store = open_store(options)
    client = ResourceClient(store, LoopClock())
    failed = 0
    try:
        for parsed in sorted(parsed_resources, key=is_program):
            if not await apply_resource(client, parsed, options.version):
                failed += 1
    finally:
        await store.close()
    return EXIT_FAILED if failed else 0


def is_program(parsed: ParsedResource) -> bool:
    """Return whether the resource is a program."""
    return parsed.resource.id.kind == Kind.PROGRAM


async def apply_resource(
    client: ResourceClient, parsed: ParsedResource, version: int | None
) -> bool:
    """Write one resource and print whether it was accepted.

    Args:
        client: client of the store.
        parsed: the resource.
        version: version that the stored resource must have; None for any.

    Returns:
        Whether the resource was accepted.
    """
    resource_id = parsed.resource.id
    name = f'{resource_id.kind}/{resource_id.name}'
    desired_version = await client.apply(resource_id, parsed.keys, version)
    status = await client.wait_for_status(resource_id, desired_version)
    if status is None:
        sys.stdout.write(f'{name}: written, but not yet evaluated by an entry\n')
        return False
    if status.reason:
        sys.stdout.write(f'{name}: refused: {status.reason}\n')
        return False
    sys.stdout.write(f'{name}: accepted at version {status.version}\n')
    return True


def run_get(options: argparse.Namespace) -> int:
    """Print resources as JSON lines."""
    return asyncio.run(print_resources(options))


async def print_resources(options: argparse.Namespace) -> int:
    """Print the named resources, or all if none is named.

    Returns:
        1 if a named resource doesn't exist, else 0.
    """
    store = open_store(options)
    try:
        views = await ResourceClient(store, LoopClock()).list_resources()
    finally:
        await store.close()
    selected = [
        view for view in views if not options.names or view.name in options.names
    ]
    for selected_view in selected:
        sys.stdout.write(f'{json.dumps(selected_view._asdict())}\n')
    missing = set(options.names) - {view.name for view in selected}
    for name in sorted(missing):
        sys.stderr.write(f'pollenwalk: no such resource: {name}\n')
    return EXIT_FAILED if missing else 0


def run_delete(options: argparse.Namespace) -> int:
    """Delete the named resource."""
    kind, name = split_resource_name(options.name)
    if kind not in [member.value for member in Kind]:
        raise UserError(f'unknown kind {kind!r}; known: {", ".join(Kind)}')
    return asyncio.run(delete_resource(options, ResourceId(Kind(kind), name)))


async def delete_resource(options: argparse.Namespace, resource_id: ResourceId) -> int:
    """Write the deletion of a resource and wait until it has been evaluated.

    Returns:
        0 if it has been evaluated; 1 if not before the timeout of
        `ResourceClient.wait_for_status`.
    """
    store = open_store(options)
    client = ResourceClient(store, LoopClock())
    try:
        desired_version = await client.apply(resource_id, None)
        status = await client.wait_for_status(resource_id, desired_version)
    finally:
        await store.close()
    outcome = 'deleted' if status else 'written, but not yet evaluated by an entry'
    sys.stdout.write(f'{resource_id.kind}/{resource_id.name}: {outcome}\n')
    return 0 if status else EXIT_FAILED


def run_watch(options: argparse.Namespace) -> int:
    """Print acceptance statuses as JSON lines until interrupted."""
    asyncio.run(print_statuses(options))
    return 0


async def print_statuses(options: argparse.Namespace) -> None:
    """Print the stored acceptance statuses, then each new one."""
    store = open_store(options)
    try:
        async for status in ResourceClient(store, LoopClock()).watch():
            sys.stdout.write(f'{json.dumps(status._asdict())}\n')
            sys.stdout.flush()
    finally:
        await store.close()


def run_settings(options: argparse.Namespace) -> int:
    """Print the default settings with their comments."""
    sys.stdout.write(default_text())
    return 0
