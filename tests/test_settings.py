"""Settings: all errors at once, one clear line each; the document is current."""

import dataclasses
import pathlib

import testtools
from testtools.matchers import Contains

from wingquay.adapters.settings import Settings
from wingquay.adapters.settings_check import SettingsErrors, read_settings
from wingquay.adapters.settings_document import settings_document, settings_example
from wingquay.adapters.settings_tuning import TUNING_SECTIONS, node_machine_settings, tuning_of

DOCUMENT = pathlib.Path(__file__).parent.parent / "docs" / "SETTINGS.md"


def changed(*replacements: tuple[str, str]) -> Settings | SettingsErrors:
    text = settings_example()
    for old, new in replacements:
        assert old in text, old
        text = text.replace(old, new, 1)
    return read_settings(text)


class SettingsTest(testtools.TestCase):
    def assert_lines(self, read: Settings | SettingsErrors, *expected: str) -> None:
        assert isinstance(read, SettingsErrors), read
        self.assertEqual(len(expected), len(read.lines), str(read.lines))
        for line, text in zip(read.lines, expected, strict=True):
            self.assertThat(line, Contains(text))

    def test_example_passes(self) -> None:
        self.assertIsInstance(changed(), Settings)

    def test_all_errors_are_reported_at_once(self) -> None:
        self.assert_lines(
            changed(
                ('zone = "cluj-a"', 'zone = "Cluj A"'),
                ('host = "10.0.0.1"', 'host = "localhost"'),
                ("# port = 7401", 'port = "7401"'),
                ("[log]", "[log]\ncolour = true"),
            ),
            'node.zone: "Cluj A" is not allowed; must be 1 to 63',
            'caller_interface.host: "localhost" is not allowed; must be an IP number',
            'operator_interface.port: "7401" is not allowed; must be a whole number',
            "log.colour: unknown setting; known here: level",
        )

    def test_out_of_range_and_missing(self) -> None:
        self.assert_lines(
            changed(("# most_seconds = 30.0", "most_seconds = -1"), ('name = "node-1"', "")),
            "node.name: missing",
            "stop.most_seconds: -1 is not allowed; must be a number at least 0.1",
        )

    def test_address_given_twice(self) -> None:
        self.assert_lines(
            changed(("# port = 7401", "port = 7400")),
            "operator_interface: 10.0.0.1:7400 is given twice, first in caller_interface",
        )
        self.assert_lines(
            changed(("# seeds = []", 'seeds = ["10.0.0.2:7402", "10.0.0.2:7402"]')),
            "peers.seeds[1]: 10.0.0.2:7402 is given twice, first in peers.seeds[0]",
        )

    def test_wildcard_covers_other_addresses_with_its_port(self) -> None:
        self.assert_lines(
            changed(
                ('host = "10.0.0.1"', 'host = "0.0.0.0"'),
                ("# port = 7401", "port = 7400"),
            ),
            "operator_interface: 10.0.0.1:7400 is given twice",
        )

    def test_own_address_may_be_a_seed(self) -> None:
        self.assertIsInstance(changed(("# seeds = []", 'seeds = ["10.0.0.1:7402"]')), Settings)

    def test_settings_that_contradict_each_other(self) -> None:
        self.assert_lines(
            changed(
                ("# owner_heartbeat_seconds = 0.02", "owner_heartbeat_seconds = 0.05"),
                ("# most_seconds = 30.0", "most_seconds = 0.8"),
            ),
            "query.owner_silence_seconds: 0.1 is not allowed; must be at least 3 times "
            "admission.owner_heartbeat_seconds (0.05)",
            "stop.most_seconds: 0.8 is not allowed; must be at least stop.least_seconds (1)",
        )

    def test_secret_is_never_shown(self) -> None:
        read = changed(("replace-this-with-32-or-more-random-characters", "hush-hush"))
        self.assert_lines(read, "peers.cluster_key: the value given is not allowed")
        self.assertNotIn("hush-hush", repr(read))

    def test_text_that_is_not_toml(self) -> None:
        self.assert_lines(read_settings("[node\n"), "not a TOML file")

    def test_override_is_checked_as_well(self) -> None:
        read = read_settings(settings_example(), {"peers": {"host": "0.0.0.0"}})
        self.assert_lines(read, 'peers.host: "0.0.0.0" is not allowed')

    def test_tuning_sections_carry_the_defaults_of_the_decision_code(self) -> None:
        settings = changed()
        assert isinstance(settings, Settings)
        for section, kind in TUNING_SECTIONS.items():
            self.assertEqual(kind(), tuning_of(settings, section, kind))

    def test_every_tuning_section_reaches_the_decision_code(self) -> None:
        for section, kind in TUNING_SECTIONS.items():
            names = (entry.name for entry in dataclasses.fields(kind))
            name = next(name for name in names if name.endswith("_seconds"))
            settings = read_settings(settings_example(), {section: {name: 0.9}})
            assert isinstance(settings, Settings), settings
            tuned = getattr(node_machine_settings(settings), section)
            self.assertEqual(0.9, getattr(tuned, name), f"{section}.{name}")

    def test_document_is_current(self) -> None:
        self.assertEqual(settings_document(), DOCUMENT.read_text(encoding="utf-8"))
