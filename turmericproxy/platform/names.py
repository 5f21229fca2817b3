"""Header fields, paths, tables and row keys of the platform's interfaces."""

REQUEST_ID = "X-Attempt-Id"
DEADLINE_MS = "X-Request-Deadline"
ACCOUNT = "X-Tenant"
MODEL = "X-Model"
TOKEN_COUNTS = "X-Token-Count"
PROMPT_PARTS = "X-Prompt-Prefix"
EXPECTED_INSTANCE = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
PRIORITY = "X-Request-Priority"
CACHE_SPACE = "X-Cache-Salt"
FETCH_FROM = "X-Kv-Fetch"
SAVE_TO = "X-Kv-Save"
RESUME_AFTER = "Last-Event-Id"
SIGNATURE = "X-Response-Signature"
NOT_RUN = "X-Not-Executed"
INSTANCE = "X-Instance-Id"
VERSIONS = "X-Weight-Versions"
# On every answer of a server that is about to leave.
LEAVING = "Server-Leaving"
# On a 503 answer of a server: seconds for which this host should send it nothing.
RETRY_AFTER = "Retry-After"
# On the answers of a server in need: the requests a second that it takes from all hosts together.
REQUEST_LIMIT = "Server-Limit"
# On answers of a server: requests running, requests waiting, slots, and on some servers the time
# that work takes there now, in percent of the usual time.
LOAD = "X-Server-Load"
# On every answer of the store: the number of times that it was restored from an older copy.
STORE_ERA = "Store-Era"

# Fields of requests to upstreams that only the host may set; they are removed from client requests.
RESERVED_FIELDS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        ACCOUNT,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        PRIORITY,
        CACHE_SPACE,
        FETCH_FROM,
        SAVE_TO,
        RESUME_AFTER,
        "Authorization",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Content-Length",
        "Expect",
    )
)
# Fields that a client request may contain at most once.
SINGLE_FIELDS = (
    REQUEST_ID.lower(),
    DEADLINE_MS.lower(),
    MODEL.lower(),
    TOKEN_COUNTS.lower(),
    PROMPT_PARTS.lower(),
    RESUME_AFTER.lower(),
)

READY_PATH = "/api/ready"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
EVENTS_PATH = "/api/kv-events"
WAIT_MS = "Wait-Ms"
COMMIT_PATH = "/api/rows-tx"
READ_PATH = "/api/rows-get"
FEED_PATH = "/api/rows-feed"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
MODEL_VERSION_KEY_PREFIX = "version/"
RELEASE_KEY_PREFIX = "rollout/"
STATUS_TABLE = "status"
UPSTREAM_TABLE = "servers"
