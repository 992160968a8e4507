"""`check-deployment`: the deploy file, its templates and what they give."""

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
        help="check the platform's deploy file and the settings that it gives",
        description=(
            'Checks the roles of a deploy file and that their templates can be '
            'read. With example settings of a host, as the platform writes them, '
            'fills in the templates of the roles that run there and checks the '
            'result as the process would.'
        ),
    )
    parser.add_argument('deploy', type=Path, metavar='FILE')
    parser.add_argument(
        '--host-settings',
        type=Path,
        action='append',
        default=[],
        metavar='FILE',
        help='name=value lines, one file for each class of hosts; may be repeated',
    )
    parser.set_defaults(run=run_check)


def run_check(options: argparse.Namespace) -> int:
    """Check a deploy file without starting anything."""
    roles = read_deploy_file(options.deploy)
    templates = {role.name: read_template(options.deploy, role) for role in roles}
    for path in options.host_settings:
        fields = read_field_file(path)
        check_host(path, fields, roles, templates)
    for role in roles:
        sys.stdout.write(f'{role.name}: on {role.host_class}: valid\n')
    return 0


def read_template(deploy_path: Path, role: DeployedRole) -> str:
    """Read a role's template.

    Raises:
        UserError: the role or the template doesn't exist.
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
    """Check the settings of every role that runs on a class of hosts.

    Raises:
        UserError: no role runs there, or its settings don't hold.
    """
    host_class = fields.get(HOST_CLASS, '')
    placed_roles = [role for role in roles if role.host_class == host_class]
    if not placed_roles:
        raise UserError(f'{path}: no role runs on hosts of class {host_class!r}')
    for role in placed_roles:
        text = fill_template(templates[role.name], fields)
        parse_settings(text, f'{role.template.name} for {path.name}', role.name)
