"""The command line: help, exit codes, errors without tracebacks, flags checked before running."""

import contextlib
import io
import pathlib
import tempfile
import types
from unittest import mock

import testtools
from testtools.matchers import Contains

import wingquay
from wingquay import cli
from wingquay.commands.exit_codes import FAILED, OK, USAGE
from wingquay.commands.operator_session import OperatorSession


class CommandLineTest(testtools.TestCase):
    def run_line(self, *arguments: str) -> tuple[int, str]:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            code = cli.run(list(arguments))
        return code, printed.getvalue()

    def run_command(self, command: object, *arguments: str) -> tuple[int, str]:
        module = types.SimpleNamespace(command=command)
        with mock.patch("importlib.import_module", return_value=module):
            return self.run_line("settings", *arguments)

    def test_version_and_help(self) -> None:
        self.assertEqual((OK, f"wingquay {wingquay.__version__}\n"), self.run_line("--version"))
        code, text = self.run_line("--help")
        self.assertEqual(OK, code)
        self.assertThat(text, Contains("Exit codes:"))

    def test_help_of_a_command_is_plain(self) -> None:
        code, text = self.run_line("settings", "check", "--help")
        self.assertEqual(OK, code)
        self.assertThat(text, Contains("wingquay settings check FILE"))
        self.assertNotIn("FIRE", text)

    def test_every_installed_command_has_help(self) -> None:
        for name in cli.available_commands():
            code, text = self.run_line(name, "--help")
            self.assertEqual(OK, code, name)
            self.assertThat(text, Contains(f"wingquay {name} - "))

    def test_unknown_command_names_a_close_one(self) -> None:
        code, text = self.run_line("setings")
        self.assertEqual(USAGE, code)
        self.assertThat(text, Contains('did you mean "settings"?'))

    def test_unknown_flag_is_noticed_before_the_command_runs(self) -> None:
        calls: list[str] = []

        def command(name: str) -> None:
            calls.append(name)

        self.assertEqual(USAGE, self.run_command(command, "--name=x", "--nmae=y")[0])
        self.assertEqual([], calls)
        self.assertEqual(OK, self.run_command(command, "--name=007")[0])
        self.assertEqual(["007"], calls)

    def test_flag_of_a_wrong_type_is_one_clear_line(self) -> None:
        def command(count: int = 1) -> None:
            raise AssertionError("must not run")

        code, text = self.run_command(command, "--count=many")
        self.assertEqual(USAGE, code)
        self.assertThat(text, Contains("--count: 'many' is not allowed; must be a whole number"))

    def test_shared_flags_reach_a_command_as_one_value(self) -> None:
        sessions: list[OperatorSession] = []

        def command(name: str, *, session: OperatorSession) -> None:
            sessions.append(session)

        line = ["x", "--server=::1", "--json"]
        self.assertEqual(OK, self.run_command(command, *line)[0])
        self.assertEqual([OperatorSession("::1", None, json=True)], sessions)
        self.assertEqual(USAGE, self.run_command(command, *line, "--session=y")[0])
        code, text = self.run_command(command, "--help")
        self.assertEqual(OK, code)
        self.assertThat(text, Contains("File with the operator's token."))

    def test_error_in_a_command_has_no_traceback(self) -> None:
        async def command() -> int:
            raise OSError("address in use")

        code, text = self.run_command(command)
        self.assertEqual((FAILED, "wingquay: settings: OSError: address in use\n"), (code, text))

    def test_missing_subcommand(self) -> None:
        code, text = self.run_line("settings")
        self.assertEqual(USAGE, code)
        self.assertThat(text, Contains("a subcommand is missing"))

    def test_settings_check_prints_every_error(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        file = pathlib.Path(directory.name) / "node.toml"
        file.write_text("[node]\nzone = 5\n", encoding="utf-8")
        code, text = self.run_line("settings", "check", str(file))
        self.assertEqual(USAGE, code)
        self.assertThat(text, Contains("node.zone: 5 is not allowed"))
        self.assertThat(text, Contains("peers: missing"))
