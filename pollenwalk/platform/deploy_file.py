"""The file that tells the platform which of our processes run on which hosts."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from pollenwalk.errors import UserError
from pollenwalk.version.fields import read_text


class DeployedRole(NamedTuple):
    """A kind of process and where it runs.

    Attributes:
        name: of the role, ours.
        host_class: of the hosts that run it.
        template: the file that its settings are made from.
    """

    name: str
    host_class: str
    template: Path


def read_deploy_file(path: Path) -> list[DeployedRole]:
    """Read the roles of a deploy file; templates are relative to its project.

    Raises:
        UserError: it can't be read, or a role lacks something.
    """
    try:
        deploy = tomllib.loads(read_text(path))
    except tomllib.TOMLDecodeError as error:
        raise UserError(f'{path}: {error}') from error
    project = path.resolve().parent.parent
    roles = deploy.get('roles')
    if not isinstance(roles, dict) or not roles:
        raise UserError(f'{path}: no [roles.NAME]')
    return [read_role(path, project, name, entry) for name, entry in roles.items()]


def read_role(path: Path, project: Path, name: str, entry: object) -> DeployedRole:
    """Read one role."""
    entry_table = entry if isinstance(entry, dict) else {}
    for key in ('run', 'on', 'template'):
        if not isinstance(entry_table.get(key), str):
            raise UserError(f'{path}: [roles.{name}] needs {key} = "..."')
    return DeployedRole(name, entry_table['on'], project / entry_table['template'])
