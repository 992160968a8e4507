"""The two deployments' declared resources and zones, as in their INI files."""

import configparser

from pollenwalk.version.resources import ResourceId

REGIONS = {
    'rimouski': 'est',
    'saguenay': 'est',
    'envigado': 'est',
    'bello': 'est',
    'gatineau': 'ouest',
    'yumbo': 'ouest',
}

DECLARATIONS = """
[Priority counter]
level = 3

[Priority collector]
level = 5

[Upstream advisory]
kind = model
idempotent = chat
slots = 8
queue = 64
prefill_ms = 0.16
decode_ms = 10

[Upstream appraisal]
kind = model
idempotent = chat
slots = 8
queue = 64
prefill_ms = 0.16
decode_ms = 10

[Upstream orders]
kind = plain
idempotent = lookup
non_idempotent = reserve, order, refund, invoice, release
slots = 16

[Upstream ledger]
kind = plain
idempotent = lookup
non_idempotent = reserve, order, refund, invoice, release
slots = 16

[Program spares-dispatch]
upstreams = advisory, orders
budget_tokens = 5000
priority = counter

[Program tea-chest]
upstreams = appraisal, ledger
budget_tokens = 5000
priority = collector
"""


def section_keys(resource_id: ResourceId) -> dict[str, str]:
    """Return the keys of one declared resource as written."""
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    parser.read_string(DECLARATIONS)
    return dict(parser[f'{resource_id.kind} {resource_id.name}'])
