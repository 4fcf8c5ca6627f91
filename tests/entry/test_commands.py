"""Commands end with exit codes that scripts can rely on."""

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


def test_check_of_a_good_text_is_done(tmp_path: Path) -> None:
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


def test_missing_file_is_a_fault() -> None:
    assert run_command(["check", "/no/such/file"]) is ExitCode.FAULTS


def test_unknown_command_is_a_fault() -> None:
    assert run_command(["dance"]) is ExitCode.FAULTS


def test_silent_address_is_unreachable() -> None:
    assert run_command(["status", UNUSED_ADDRESS]) is ExitCode.UNREACHABLE


def test_apply_without_platform_is_unreachable(tmp_path: Path) -> None:
    command = ["apply", f"--platform={UNUSED_ADDRESS}", write(tmp_path, build_text())]
    assert run_command(command) is ExitCode.UNREACHABLE
