"""Relays forward data, reset connections and discard data."""

import socket
import threading
from contextlib import closing

import pytest

from demo.cluster import wait_listening
from demo.ports import free_ports
from tests.promises.relay import Condition, running_relays

TIMEOUT_SECONDS = 2.0
SILENCE_SECONDS = 0.2


def _echo(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=_echo_one, args=[connection], daemon=True).start()


def _echo_one(connection):
    with closing(connection):
        try:
            while chunk := connection.recv(100):
                connection.sendall(chunk)
        except OSError:
            return


@pytest.fixture
def echo():
    with closing(socket.create_server(("127.0.0.1", 0))) as listener:
        threading.Thread(target=_echo, args=[listener], daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture
def relay(echo):
    with running_relays() as relays:
        listen = f"127.0.0.1:{free_ports(1)[0]}"
        relays.add("echo", listen, echo)
        wait_listening(listen)
        yield relays, listen


def _dial(listen):
    host, _, port = listen.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)
    connection.settimeout(TIMEOUT_SECONDS)
    return connection


def _ask(connection, content=b"hello"):
    connection.sendall(content)
    return connection.recv(100)


class TestRelay:
    def test_open_forwards(self, relay):
        _, listen = relay
        with _dial(listen) as connection:
            assert _ask(connection) == b"hello"

    def test_cut_resets_old_and_new(self, relay):
        relays, listen = relay
        with _dial(listen) as old:
            _ask(old)
            relays.set("echo", Condition.CUT)
            with pytest.raises(ConnectionError):
                _ask(old)
                _ask(old)
        with pytest.raises(ConnectionError), _dial(listen) as new:
            _ask(new)
            _ask(new)

    def test_silent_stays_open_until_healed(self, relay):
        relays, listen = relay
        with _dial(listen) as connection:
            relays.set("echo", Condition.SILENT)
            connection.settimeout(SILENCE_SECONDS)
            with pytest.raises(TimeoutError):
                _ask(connection)
            relays.open_all()
            with pytest.raises(ConnectionError):
                connection.recv(100)
        with _dial(listen) as new:
            assert _ask(new) == b"hello"

    def test_only_old_connections_go_silent(self, relay):
        relays, listen = relay
        with _dial(listen) as old:
            _ask(old)
            relays.set("echo", Condition.SILENT, existing_only=True)
            old.settimeout(SILENCE_SECONDS)
            with pytest.raises(TimeoutError):
                _ask(old)
            with _dial(listen) as new:
                assert _ask(new) == b"hello"

    def test_only_a_named_caller_is_cut(self, relay):
        relays, listen = relay
        relays.set("echo", Condition.CUT, caller="host-a")
        with pytest.raises(ConnectionError), _dial(listen) as named:
            _ask(named, b"I am host-a")
            _ask(named, b"again")
        with _dial(listen) as other:
            assert _ask(other, b"I am host-b") == b"I am host-b"
