"""Tests of the lookup of routes by host and path."""

from datetime import timedelta

import pytest

from nutmegstep.configuration import Configuration, Route, match_route


def _route(name: str, prefix: str) -> Route:
    second = timedelta(seconds=1)
    return Route(name, 'shop.example', prefix, True, second, second, 1, 2)


_ROUTES = {
    prefix: _route(name, prefix)
    for name, prefix in (('root', '/'), ('a', '/a/'), ('deep', '/a/b/'))
}
_CONFIGURATION = Configuration(3, {'shop.example': _ROUTES}, {})


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/', 'root'),
        ('/a', 'root'),
        ('/a/', 'a'),
        ('/a/bc', 'a'),
        ('/a/b/c/d', 'deep'),
        ('/ab/c', 'root'),
    ],
)
def test_longest_prefix_wins(path: str, name: str) -> None:
    """Guards against a request that goes to the route of another prefix.

    A path can start with the prefixes of several routes, and a prefix
    matches whole path segments only: ``/ab/c`` is not below ``/a/``.
    """
    route = match_route(_CONFIGURATION, 'shop.example', path)
    assert route is not None
    assert route.name == name


@pytest.mark.parametrize('host', ['SHOP.example', 'shop.example:8080'])
def test_host_ignores_case_and_port(host: str) -> None:
    """Guards against status 404 for a host in upper case or with a port."""
    assert match_route(_CONFIGURATION, host, '/a/x') is not None


@pytest.mark.parametrize(
    ('host', 'path'),
    [('other.example', '/a/'), ('', '/a/'), ('shop.example', '')],
)
def test_unknown_host_or_path_has_no_route(host: str, path: str) -> None:
    """Guards against routing a request to a service of another host."""
    assert match_route(_CONFIGURATION, host, path) is None
