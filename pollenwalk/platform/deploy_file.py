"""The deploy file, from which the platform learns what runs on which hosts."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from pollenwalk.errors import UserError
from pollenwalk.version.fields import read_text


class DeployedRole(NamedTuple):
    """A kind of process and the hosts that run it.

    Attributes:
        name: pollenwalk's name of the role.
        host_class: class of the hosts that run the role.
        template: the template of the role's settings file.
    """

    name: str
    host_class: str
    template: Path


def read_deploy_file(path: Path) -> list[DeployedRole]:
    """Read the roles of a deploy file.

    The paths of templates are relative to the parent of the file's directory.

    Raises:
        UserError: the file can't be read, has no role or an incomplete one.
    """
    try:
        deploy = tomllib.loads(read_text(path))
    except tomllib.TOMLDecodeError as error:
        raise UserError(f'{path}: {error}') from error
    project = path.resolve().parent.parent
    roles = deploy.get('roles')
    if not isinstance(roles, dict) or not roles:
        raise UserError(f'{path}: no section [roles.NAME]')
    return [read_role(path, project, name, entry) for name, entry in roles.items()]


def read_role(path: Path, project: Path, name: str, entry: object) -> DeployedRole:
    """Read one role.

    Args:
        path: the deploy file, for errors.
        project: the directory that the template's path is relative to.
        name: name of the role.
        entry: the role's section as parsed from TOML.

    Raises:
        UserError: the role lacks a key, or its value is no string.
    """
    section = entry if isinstance(entry, dict) else {}
    for key in ('run', 'on', 'template'):
        if not isinstance(section.get(key), str):
            raise UserError(f'{path}: [roles.{name}] needs {key} = "..."')
    return DeployedRole(name, section['on'], project / section['template'])
