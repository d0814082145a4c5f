"""Stand-in for the platform's object API."""

from dataclasses import dataclass

from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['PlatformStandIn']

_PREFIX = '/objects/'


@dataclass(slots=True)
class _Stored:
    version: int
    document: bytes


class PlatformStandIn:
    """Objects with versions and conditional updates, in memory."""

    def __init__(self) -> None:
        self._revision = 0
        self._stored_by_name: dict[str, _Stored] = {}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of the object API."""
        if not request.path.startswith(_PREFIX):
            return HttpResponse(404)
        name = request.path.removeprefix(_PREFIX)
        if request.method == 'GET':
            return self._get(name)
        if request.method == 'PUT':
            return self._put(name, request)
        return HttpResponse(405)

    def _get(self, name: str) -> HttpResponse:
        stored = self._stored_by_name.get(name)
        if stored is None:
            return HttpResponse(404)
        return HttpResponse(200, stored.document, _etag(stored))

    def _put(self, name: str, request: HttpRequest) -> HttpResponse:
        stored = self._stored_by_name.get(name)
        expected = request.headers.get('if-match')
        if expected is not None:
            if stored is None or expected != f'"{stored.version}"':
                return HttpResponse(412)
        if request.headers.get('if-none-match') == '*' and stored:
            return HttpResponse(412)
        self._revision += 1
        created = _Stored(self._revision, request.body)
        self._stored_by_name[name] = created
        return HttpResponse(200, b'', _etag(created))


def _etag(stored: _Stored) -> tuple[tuple[str, str], ...]:
    return (('ETag', f'"{stored.version}"'),)
