"""The subcommand `check-deployment`: validates a deploy file and its templates."""

import argparse
import sys
from pathlib import Path
from typing import Any

from pollenwalk.errors import UserError
from pollenwalk.platform.deploy_file import DeployedRole, read_deploy_file
from pollenwalk.platform.templates import (
    HOST_CLASS,
    Fields,
    fill_template,
    read_field_file,
)
from pollenwalk.process.settings import ROLES, parse_settings
from pollenwalk.version.fields import read_text


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        'check-deployment',
        help="check the platform's deploy file and the settings made from it",
        description=(
            'Checks the roles of a deploy file and that their templates can be '
            'read. With an example of a field file that the platform writes for '
            'a host, it also fills in the templates of the roles that run on '
            'this host and validates the settings as the processes do when they '
            'start.'
        ),
    )
    parser.add_argument('deploy', type=Path, metavar='FILE')
    parser.add_argument(
        '--host-settings',
        type=Path,
        action='append',
        default=[],
        metavar='FILE',
        help=(
            "example of a host's field file, with lines name=value; repeat the "
            'option to give one file for each class of hosts'
        ),
    )
    parser.set_defaults(run=run_check)


def run_check(options: argparse.Namespace) -> int:
    """Check a deploy file and print its roles; nothing is started."""
    roles = read_deploy_file(options.deploy)
    templates = {role.name: read_template(options.deploy, role) for role in roles}
    for path in options.host_settings:
        fields = read_field_file(path)
        check_host(path, fields, roles, templates)
    for role in roles:
        sys.stdout.write(f'{role.name}: on {role.host_class}: valid\n')
    return 0


def read_template(deploy_path: Path, role: DeployedRole) -> str:
    """Read the settings template of a role.

    Args:
        deploy_path: the deploy file, for error messages.
        role: the role.

    Raises:
        UserError: the role is unknown or the template can't be read.
    """
    if role.name not in ROLES:
        known = ', '.join(ROLES)
        raise UserError(f'{deploy_path}: unknown role {role.name!r}; known: {known}')
    return read_text(role.template)


def check_host(
    path: Path,
    fields: Fields,
    roles: list[DeployedRole],
    templates: dict[str, str],
) -> None:
    """Check the settings of all roles that run on an example host.

    Args:
        path: the host's field file, for error messages.
        fields: the host's fields; HOST_CLASS names its class.
        roles: all roles of the deploy file.
        templates: settings template of each role, by the role's name.

    Raises:
        UserError: no role runs on hosts of this class, or the settings of a
            role are invalid.
    """
    host_class = fields.get(HOST_CLASS, '')
    placed_roles = [role for role in roles if role.host_class == host_class]
    if not placed_roles:
        raise UserError(f'{path}: no role runs on hosts of class {host_class!r}')
    for role in placed_roles:
        text = fill_template(templates[role.name], fields)
        parse_settings(text, f'{role.template.name} for {path.name}', role.name)
