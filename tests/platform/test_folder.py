"""
The platform's names are used only in its folder, which makes no decisions.

A name belongs to the platform if it is one of its headers, calls or fields that
no other product would use. A module makes decisions if it waits, uses random
numbers, loops until something changes, or keeps state. So the folder contains
no clocks, no random numbers and no ``while`` except to read the pages of one
response, and sets attributes in ``__init__`` only.
"""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
FOLDER = ROOT / "platform" / "src"
SOURCES = sorted(
    path
    for package in ("common", "entry", "agent", "measure")
    for path in (ROOT / "packages" / package / "src").rglob("*.py")
)
NAMES = (
    "rows-tx",
    "rows-get",
    "rows-feed",
    "expectedRev",
    "setKeys",
    "pathPrefix",
    "path_prefix",
    "timeoutMs",
    "gapTargetMs",
    "maxAttempts",
    "apiKeys",
    "coldLeftMs",
    "x-cold-ms",
    "x-expect-instance",
    "x-not-executed",
    "x-server-stamp",
    "x-server-load",
    "x-deadline-ms",
    "x-credential",
    "x-tenant",
    "x-token-count",
    "x-prefix-hash",
    "at-server",
    "api/report",
    "api/picked",
    "api/order",
    "kvUsed",
)
DECIDING_MODULES = {"random", "time", "asyncio", "loguru"}
ALLOWED_LOOPS = {"store.py": 1}
"""Number of ``while`` statements by file; the store's client reads page after page."""


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_source_contains_no_name_of_the_platform(path: Path) -> None:
    text = path.read_text(encoding="utf-8").lower()
    assert [name for name in NAMES if name.lower() in text] == []


@pytest.mark.parametrize("path", sorted(FOLDER.rglob("*.py")), ids=lambda p: p.name)
def test_folder_makes_no_decisions(path: Path) -> None:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    loops = sum(isinstance(node, ast.While) for node in ast.walk(tree))
    assert imported(tree) & DECIDING_MODULES == set()
    assert loops <= ALLOWED_LOOPS.get(path.name, 0)
    assert waits(tree) == []
    assert kept_state(tree) == []


def test_checks_detect_a_decision() -> None:
    tree = ast.parse(
        "import random\n"
        "class Store:\n"
        "    async def call(self):\n"
        "        self.seen = 1\n"
        "        await anyio.sleep(1)\n"
    )
    assert imported(tree) & DECIDING_MODULES == {"random"}
    assert waits(tree) == ["sleep"]
    assert kept_state(tree) == ["seen"]


def imported(tree: ast.AST) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


def waits(tree: ast.AST) -> list[str]:
    return [
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in ("sleep", "sleep_until", "sleep_forever", "current_time")
    ]


def kept_state(tree: ast.AST) -> list[str]:
    return [
        target.attr
        for function in ast.walk(tree)
        if isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef)
        and function.name != "__init__"
        for node in ast.walk(function)
        if isinstance(node, ast.Assign | ast.AugAssign)
        for target in (node.targets if isinstance(node, ast.Assign) else [node.target])
        if isinstance(target, ast.Attribute)
    ]
