"""Stand-in for a store whose objects have a status."""

from typing import Any

import orjson

from nutmegstep.web import HttpResponse
from tests.platform.standin import StoreStandIn


class StatusStore(StoreStandIn):
    """Store whose objects also have a status, written under a condition."""

    def status_of(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        return self._objects[kind][name]['status']

    def _replace(
        self, kind: str, name: str, document: dict[str, object]
    ) -> HttpResponse:
        name, _, part = name.partition('/')
        if part != 'status':
            return super()._replace(kind, name, document)
        known: dict[str, Any] = self._objects[kind][name]
        meta: Any = document['meta']
        if meta['rev'] != known['meta']['rev']:
            return HttpResponse(409, orjson.dumps(known))
        self.revision += 1
        written = {
            **known,
            'meta': {**known['meta'], 'rev': self.revision},
            'status': document['status'],
        }
        self._objects[kind][name] = written
        self._note(kind, written, is_deleted=False)
        return HttpResponse(200, orjson.dumps(written))
