"""
Protocol
~~~~~~~~

Headers, paths, keys and values of the platform's protocol.
"""

ATTEMPT_ID = 'Bergamotstream-Attempt-Id'
DEADLINE_MS = 'Bergamotstream-Deadline-Ms'
LAST_EVENT_ID = 'Last-Event-Id'
TOKEN_COUNTS = 'Bergamotstream-Token-Counts'
PROMPT_PREFIX = 'Bergamotstream-Prompt-Prefix'
LENGTH_HINT = 'Bergamotstream-Length-Hint'
API_KEY = 'Api-Key'
RETRY_AFTER = 'Retry-After'
# Proof of origin that each answer of a target carries.
STAMP = 'Bergamotstream-Server-Stamp'
NOT_EXECUTED = 'Bergamotstream-Not-Executed'
AT_SERVER = 'At-Server'
# Requests a second that a target takes from all hosts together.
SERVER_LIMIT = 'Server-Limit'
# In all answers of a target that leaves.
SERVER_LEAVING = 'Server-Leaving'
LEAVING_TEXT = '1'
# Names the target in its answers to health checks.
INSTANCE_ID = 'Bergamotstream-Instance-Id'
# Status of a target that is not the one that the request names.
MISDIRECTED = 421
# Set by the system on requests to targets.
EXPECT_INSTANCE = 'Bergamotstream-Expect-Instance'
EXPECT_VERSION = 'Bergamotstream-Expect-Version'
WORKSPACE = 'Bergamotstream-Tenant'
REQUEST_PRIORITY = 'Bergamotstream-Request-Priority'
HELPERS = 'Bergamotstream-Helpers'

# Prefixes of end-to-end headers, which ``Connection`` cannot remove.
END_TO_END_PREFIXES = (
    'bergamotstream-',
    'host',
    'content-type',
    'last-event-id',
)

# Headers that only the system may set, and hop-by-hop headers.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        WORKSPACE,
        REQUEST_PRIORITY,
        HELPERS,
        DEADLINE_MS,
        NOT_EXECUTED,
    )
)
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)

READY_PATH = '/ready'
RESOLVE_PATH = '/resolve'
ORDER_PATH = '/order'

CONFIG_KEY = 'op/config'
ZONES_OUT_PREFIX = 'op/evacuate/'
TARGETS_PREFIX = 'servers/'
HOSTS_PREFIX = 'bergamotstream/hosts/'
BLAMED_PREFIX = 'bergamotstream/blamed/'

KIND_IDEMPOTENT = 'idempotent'
KIND_STREAMING = 'streaming'
STATE_READY = 'ready'
STATE_DRAINING = 'draining'
