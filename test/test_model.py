"""The model of the takeover holds, and notices each missing mechanism."""

import testtools

from standin.model import Variant, check

BROKEN = (
    Variant(seals_store=False),
    Variant(seals_witness=False),
    Variant(fences_sidecar=False),
    Variant(waits_for_commit=False),
    Variant(names_boot_id=False),
)


class ModelTest(testtools.TestCase):
    """All interleavings of a small configuration."""

    def test_holds(self) -> None:
        result = check(Variant())
        self.assertEqual('', result.violation, result.path)
        self.assertGreater(result.states, 1000)

    def test_each_missing_mechanism_is_noticed(self) -> None:
        for variant in BROKEN:
            result = check(variant)
            self.assertNotEqual('', result.violation, variant)
