"""Exit codes and output of the commands."""

from pathlib import Path

import pytest
from builders import build_text

from briarthread_common.core.exit_code import ExitCode
from briarthread_entry.main import run_command

UNUSED_ADDRESS = "127.0.0.1:9"


def write(folder: Path, text: str) -> str:
    path = folder / "file.ini"
    path.write_text(text, encoding="utf-8")
    return str(path)


def test_check_accepts_a_valid_text(tmp_path: Path) -> None:
    assert run_command(["check", write(tmp_path, build_text())]) is ExitCode.DONE


def test_check_lists_all_faults(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    faulty = build_text(more="[salon x]\n[service y]\ndata_centres = nowhere\n")
    assert run_command(["check", write(tmp_path, faulty)]) is ExitCode.FAULTS
    printed = capsys.readouterr().err
    assert "text.E002" in printed
    assert "text.E014" in printed


def test_check_of_settings_lists_all_faults(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = "[instance]\nname = a\nlisten = nowhere\n[unknown]\n"
    command = ["check", "--settings", write(tmp_path, settings)]
    assert run_command(command) is ExitCode.FAULTS
    printed = capsys.readouterr().err
    for expected in (
        "[instance] data_centre",
        "[instance] listen",
        "[platform] addresses",
        "[unknown]",
    ):
        assert expected in printed


DIRECT_SETTINGS = """
[instance]
name = a
data_centre = palermo
listen = 127.0.0.1:1
[callers]
listen = 127.0.0.1:2
ready_listen = 127.0.0.1:3
[direct]
adapter = {adapter}
address = 127.0.0.1:4
[peers]
seeds = 127.0.0.1:1
"""


@pytest.mark.parametrize("option", [[], ["--settings"]])
def test_check_accepts_the_settings_of_an_entry_for_direct_targets(
    option: list[str], tmp_path: Path
) -> None:
    good = DIRECT_SETTINGS.format(adapter="briarthread_platform.adapter")
    assert run_command(["check", *option, write(tmp_path, good)]) is ExitCode.DONE


@pytest.mark.parametrize("adapter", ["nowhere", "json", ".x"])
def test_check_reports_an_adapter_that_cannot_be_loaded(
    adapter: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    faulty = write(tmp_path, DIRECT_SETTINGS.format(adapter=adapter))
    assert run_command(["check", faulty]) is ExitCode.FAULTS
    assert "[direct] adapter: cannot be loaded" in capsys.readouterr().err


def test_missing_file_is_a_fault() -> None:
    assert run_command(["check", "/no/such/file"]) is ExitCode.FAULTS


def test_unknown_command_is_a_fault() -> None:
    assert run_command(["dance"]) is ExitCode.FAULTS


def test_status_of_an_unused_address_is_unreachable() -> None:
    assert run_command(["status", UNUSED_ADDRESS]) is ExitCode.UNREACHABLE


def test_apply_without_platform_is_unreachable(tmp_path: Path) -> None:
    command = ["apply", f"--platform={UNUSED_ADDRESS}", write(tmp_path, build_text())]
    assert run_command(command) is ExitCode.UNREACHABLE


LOG = """\
edge-1 2026-01-01 10:00:00.000 INFO entry: request-served t-1 request=r-1: 200
edge-1 2026-01-01 10:00:01.000 WARNING group: model is not serving: 10.0.0.1:80
edge-2 2026-01-01 10:00:01.000 WARNING group: model is not serving: 10.0.0.1:80
edge-1 2026-01-01 10:00:02.000 INFO entry: attempt-failed t-2 request=r-2: refused
edge-1 2026-01-01 10:00:02.100 INFO entry: request-failed a/model request=r-2: broken
edge-1 2026-01-01 10:00:03.000 INFO group: model serves again
"""


def test_explain_prints_the_lines_about_a_request_from_a_log(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    command = ["explain", f"--log={write(tmp_path, LOG)}", "r-2"]
    assert run_command(command) is ExitCode.DONE
    lines = LOG.splitlines()
    assert capsys.readouterr().out.splitlines() == [lines[1], lines[3], lines[4]]


def test_explain_fails_for_an_unknown_request_or_a_missing_log(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = f"--log={write(tmp_path, LOG)}"
    assert run_command(["explain", log, "r"]) is ExitCode.FAILED
    assert run_command(["explain", "--log=/no/such/file", "r-2"]) is ExitCode.FAULTS
    assert "No such file" in capsys.readouterr().err
