import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick._cli_settings import render_markdown
from trefoilpick._settings_info import list_settings
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.settings import parse_settings, read_settings

SAMPLE = Path(__file__).parent.parent / "examples" / "node.jsonc"
TEXT = SAMPLE.read_text(encoding="utf-8")


def test_sample_contains_every_setting_with_its_default() -> None:
    parsed = read_settings(SAMPLE)
    for info in list_settings():
        name = info.path.rpartition(".")[2]
        assert f'"{name}":' in TEXT, f"{SAMPLE.name} lacks {info.path}"
        assert info.text, f"{info.path} is not described"
    assert parse_settings(re.sub(r'"keepalive_ms".*', "", TEXT)) == parsed


def test_settings_page_is_up_to_date() -> None:
    rendered = "\n".join(render_markdown(tuple(list_settings()))) + "\n"
    written = (SAMPLE.parent.parent / "docs" / "settings.md").read_text(encoding="utf-8")
    assert rendered == written, "run `trefoilpick settings --format markdown > docs/settings.md`"


def test_faults_name_their_field_and_line() -> None:
    text = TEXT.replace('"caller_port": 8080', '"caller_port": 0')
    text = text.replace('"watch_ms": 6000', '"watch_mz": 6000').replace('"lima"', "7")
    with pytest.raises(TrefoilpickError) as caught:
        parse_settings(text, origin="node.jsonc")
    assert caught.value.kind is ErrorKind.SETTINGS_FAULTY
    line = text[: text.index('"watch_mz"')].count("\n") + 1
    assert f'line {line}: source.watch_mz: unknown field "watch_mz"' in caught.value.text
    assert "listen.caller_port: expected int >= 1" in caught.value.text
    assert 'vm.region: vm "portafolio-1": expected str' in caught.value.text


def test_unreadable_file_is_reported_by_name(tmp_path: Path) -> None:
    with pytest.raises(TrefoilpickError, match="none.jsonc") as caught:
        read_settings(tmp_path / "none.jsonc")
    assert caught.value.kind is ErrorKind.FILE_UNREADABLE


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.integers(min_value=0, max_value=len(TEXT)),
    st.integers(min_value=0, max_value=40),
    st.sampled_from(["", "{", "}", "]", '"', ",", "-1", "1" * 5_000, "[" * 3_000, "null", "/*"]),
)
def test_corrupted_settings_only_raise_settings_faulty(start: int, length: int, patch: str) -> None:
    try:
        parse_settings(TEXT[:start] + patch + TEXT[start + length :])
    except TrefoilpickError as error:
        assert error.kind is ErrorKind.SETTINGS_FAULTY
