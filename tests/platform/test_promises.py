"""Gateway processes and targets that fail with a status that is a promise."""

import orjson
import pytest

from tests.platform.deployment import Deployment, ask
from tests.platform.standin import respond


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize(
    ('path', 'method'), [('/order/1', 'POST'), ('/fetch/1', 'GET')]
)
async def test_request_that_may_have_run_is_not_denied(
    deployment: Deployment, path: str, method: str, status: int
) -> None:
    """Guards against a caller that sends an order again which a target has run
    before it failed.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    for target in deployment.targets.values():
        target.script = respond(b'why', status, 'Retry-After: 0.4\r\n')
    answer = await ask(gateway.port, path, method, b'order')
    assert answer.status == 502
    assert 'x-nutmegstep-server-stamp' not in answer.headers
    document = orjson.loads(answer.body)
    assert document['verdict'] == 'may_have_run'
    assert str(status) in document['detail']
    if status == 503:
        assert answer.headers['retry-after'] == '0.400'
