from __future__ import annotations

import contextlib
import http.server
import json
import pathlib
import re
import threading

import pytest
from typer import testing

from skylarkcleat.cli import program
from skylarkcleat.configuration_check import text_output
from skylarkcleat.platform import configuration_client
from skylarkcleat.platform import names
from tests import configuration_documents as documents

PAGE = pathlib.Path(__file__).parent.parent / "docs/operators/config-check.md"


@pytest.fixture
def write(tmp_path):
    def write_file(name, body):
        path = tmp_path / name
        path.write_bytes(body)
        return str(path)

    return write_file


@pytest.fixture
def file(write):
    return write("new.json", documents.create_document())


def call(*arguments, **environment):
    return testing.CliRunner().invoke(
        program.app, ("config", "check", *arguments), env=environment
    )


@contextlib.contextmanager
def serve(body, status=200, hold=None):
    """Serves the configuration in force; yields the URL of its address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            if hold is not None:
                hold.wait()
            is_known = self.path == names.CONFIGURATION_GET_PATH
            self.send_response(status if is_known else 404)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *details):
            del details

    with http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield f"http://127.0.0.1:{server.server_port}"
        finally:
            if hold is not None:
                hold.set()
            server.shutdown()
            thread.join()


@pytest.mark.parametrize(
    ("body", "code", "line"),
    [
        (documents.create_document(), 0, "version 7: sound"),
        (documents.create_document({"priority": 1}), 0, "version 7: sound"),
        (documents.create_document({"host": "h:1"}), 1, "version 7: 1 warning"),
        (documents.create_document(version=0), 2, "refused"),
        (b"", 2, "refused"),
    ],
)
def test_the_exit_code_says_the_result(write, body, code, line):
    path = write("new.json", body)
    result = call(path)
    assert result.exit_code == code
    assert result.stdout.splitlines()[-1] == f"{path}: {line}"


@pytest.mark.parametrize(
    "arguments", [("none.json",), (), ("--no-such-option",), (".",)]
)
def test_what_can_not_be_carried_out_has_an_exit_code(arguments):
    assert call(*arguments).exit_code == 3


# Failure: a fault ended with 1, which says that there are only warnings. The
# output can't hold the name of the second file.
@pytest.mark.parametrize(("name", "fault"), [("a", OSError), ("\udcff", None)])
def test_an_unforeseen_fault_is_no_result(write, monkeypatch, name, fault):
    path = write(name, documents.create_document())
    if fault is not None:
        monkeypatch.setattr(text_output, "list_lines", _raise(fault))
    assert call(path).exit_code == 3


def _raise(fault):
    def call_in_vain(*arguments):
        raise fault

    return call_in_vain


def test_a_finding_names_file_line_entry_and_field(write):
    path = write("new.json", documents.create_document({"timeout-ms": 9}))
    shown = call(path).stdout
    assert shown.startswith(f"{path}:4: warning: route 'orders', timeout-ms: ")


def _list_versions():
    old = documents.create_document(
        {"priority": 3}, {"name": "gone", "path-prefix": "/gone/"}, version=6
    )
    services = [{"name": "desk", "admission-check": True}]
    routes = ({}, {"name": "new", "path-prefix": "/new/"})
    return old, documents.create_document(*routes, services=services)


def test_the_difference_is_shown_by_entry(write):
    old, new = _list_versions()
    path = write("new.json", new)
    result = call(path, "--against", write("old.json", old))
    assert result.exit_code == 0
    assert result.stdout.splitlines() == [
        "version 6 -> 7",
        "+ route 'new'",
        "- route 'gone'",
        "~ route 'orders': priority 3 -> 0",
        "~ service 'desk': admission-check False -> True",
        f"{path}: version 7: sound",
    ]


def test_the_difference_is_printed_as_json(write):
    old, new = _list_versions()
    path = write("new.json", new)
    result = call(path, "--json", "--against", write("old.json", old))
    shown = json.loads(result.stdout)
    assert (shown["status"], shown["version"]) == ("sound", 7)
    assert shown["difference"]["added"] == [{"kind": "route", "name": "new"}]
    assert shown["difference"]["changed"][0] == {
        "kind": "route",
        "name": "orders",
        "fields": [{"field": "priority", "before": 3, "after": 0}],
    }


def test_queues_of_one_name_are_compared_in_their_order(write):
    routes = [{"path-prefix": f"/{n}/", "priority": n} for n in range(2)]
    path = write("new.json", documents.create_document(*routes))
    routes[1]["priority"] = 4
    old = write("old.json", documents.create_document(*routes, version=6))
    shown = call(path, "--against", old).stdout
    assert "~ route 'orders': priority 4 -> 1" in shown


# Fronts acknowledge such a configuration, and it never takes effect.
def test_a_version_that_is_not_higher_is_a_warning(write, file):
    result = call(file, "--against", file)
    assert result.exit_code == 1
    assert f"{file}:2: warning: version: version 7 would" in result.stdout


def test_compares_with_what_is_in_force(file):
    with serve(documents.create_document({"priority": 3}, version=6)) as url:
        result = call(file, "--against", url)
        by_version = call(file, "--against", "6", "--url", url)
        by_variable = call(
            file, "--against", "6", SKYLARKCLEAT_FRONT_CONTROL=url
        )
    assert "~ route 'orders': priority 3 -> 0" in result.stdout
    assert result.stdout == by_version.stdout == by_variable.stdout
    assert result.exit_code == 0


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (("--against", "5", "--url", "{url}"), "6 is in force, not 5"),
        (("--against", "6"), "no --url"),
        (("--against", "{url}/x"), "status 404"),
        (("--against", "http://127.0.0.1:1"), "Cannot connect"),
        (("--against", "http://[::1"), "http://"),
        (("--against", "none.json"), "No such file"),
    ],
)
def test_findings_are_shown_if_the_comparison_fails(write, arguments, text):
    body = documents.create_document({"host": "h:1"})
    path = write("new.json", body)
    with serve(documents.create_document(version=6)) as url:
        result = call(path, *(each.format(url=url) for each in arguments))
    assert result.exit_code == 3
    assert text in result.stderr
    assert "can never match" in result.stdout
    assert result.stdout.endswith("1 warning; the check is incomplete\n")


def test_a_front_without_an_answer_is_given_up(file, monkeypatch):
    monkeypatch.setattr(configuration_client, "TIMEOUT_S", 0.2)
    with serve(b"", hold=threading.Event()) as url:
        result = call(file, "--against", url)
    assert result.exit_code == 3
    assert "no answer in 0.2 s" in result.stderr


@pytest.mark.parametrize("answer", [b"", b"{}", b" " * 5_000_000])
def test_an_answer_without_a_configuration_is_not_compared(file, answer):
    with serve(answer) as url:
        assert call(file, "--against", url).exit_code == 3


def test_a_refused_document_is_not_compared(write):
    path = write("new.json", b"{}")
    result = call(path, "--against", "none.json")
    assert (result.exit_code, result.stderr) == (2, "")


# Failure: the page shows what the command no longer prints.
def test_the_example_of_the_page_is_what_is_printed(
    write, tmp_path, monkeypatch
):
    blocks = re.findall(r"```\w+\n(.*?)```", PAGE.read_text(), re.DOTALL)
    new, old, compared, refused = blocks
    write("new.json", new.encode())
    write("old.json", old.encode())
    bad = new.replace('"timeout-ms": 40', '"timeout-ms": "40"')
    write("bad.json", bad.encode())
    monkeypatch.chdir(tmp_path)
    for block, code in ((compared, 1), (refused, 2)):
        command, _, shown = block.partition("\n")
        result = call(*command.split()[4:])
        assert (result.exit_code, result.stdout) == (code, shown)
