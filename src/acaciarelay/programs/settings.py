"""Settings of each program, declared in one table per program."""

from acaciarelay.programs.options import (
    Option,
    OptionError,
    read_address,
    read_addresses,
    read_bool,
    read_choice,
    read_float,
    read_int,
    read_optional,
    read_text,
)

__all__ = ["AGENT_OPTIONS", "CTL_OPTIONS", "ENTRY_OPTIONS", "KNOWN_VARIABLES"]


def _read_entries(option: str, value: str) -> list[str]:
    entries = read_addresses(option, value)
    if not entries:
        raise OptionError(option, value, "give at least one IP:PORT")
    return entries


# Options of both entry and agent.
COMMON_OPTIONS = [
    Option("id", read_text, None, "Name of this process, unique and stable."),
    Option("zone", read_text, None, "Availability zone of this VM."),
    Option("region", read_text, None, "Region of this VM."),
    Option("platform", read_address, None, "Address of the platform's table service."),
    Option(
        "platform-timeout-s",
        read_float(0.05, 60),
        "2",
        "Longest wait for one call to the platform.",
        "s",
    ),
    Option(
        "silence-s",
        read_float(0.5, 60),
        "3",
        "Silence after which a session is replaced.",
        "s",
    ),
    Option(
        "stop-grace-s",
        read_float(0, 3600),
        "600",
        "Longest wait at a stop for work in service.",
        "s",
    ),
]

ENTRY_OPTIONS = [
    *COMMON_OPTIONS,
    Option("listen", read_address, None, "HTTP address for callers and operators."),
    Option("peer-listen", read_address, None, "gRPC address for other entries."),
    Option(
        "peers", read_addresses, "", "gRPC addresses of other entries, for a start."
    ),
    Option("operator-key", read_text, None, "Bearer key of the administration API."),
    Option(
        "config-poll-s",
        read_float(0.1, 60),
        "2",
        "Time between two reads of the configuration table.",
        "s",
    ),
    Option(
        "members-poll-s",
        read_float(0.1, 60),
        "5",
        "Time between two reads of the member table.",
        "s",
    ),
    Option(
        "drain-delay-s",
        read_float(0, 300),
        "5",
        "Time for the load balancer to notice that a stopping entry isn't ready.",
        "s",
    ),
    Option(
        "max-requests",
        read_int(1, 100_000),
        "2000",
        "Requests that may be open at once.",
    ),
    Option(
        "max-body-bytes",
        read_int(65_536, 1 << 34),
        "134217728",
        "Bytes of request bodies that may be held at once.",
        "bytes",
    ),
    Option(
        "read-timeout-s",
        read_float(0.1, 600),
        "10",
        "Longest pause of a caller while it sends or reads.",
        "s",
    ),
    Option(
        "claim-stale-s",
        read_float(1, 3600),
        "30",
        "Age after which an idempotency claim that never started may be taken over.",
        "s",
    ),
]

AGENT_OPTIONS = [
    *COMMON_OPTIONS,
    Option("listen", read_address, None, "gRPC address for entries."),
    Option(
        "advertise",
        read_optional(read_address),
        "",
        "gRPC address that entries dial, if it differs from the listening one.",
    ),
    Option("http-listen", read_address, None, "HTTP address for health and metrics."),
    Option("pool", read_text, None, "Pool that the endpoint belongs to."),
    Option("endpoint", read_address, None, "HTTP address of the endpoint."),
    Option("kind", read_choice("chat", "service"), None, "Kind of the endpoint."),
    Option(
        "checks-fencing",
        read_bool,
        "false",
        "Whether the endpoint refuses a command with an old fencing token.",
    ),
    Option(
        "command-lease-s",
        read_float(0.5, 600),
        "10",
        "Duration of the lease under which the endpoint gets commands.",
        "s",
    ),
    Option(
        "command-timeout-s",
        read_float(0.1, 3600),
        "60",
        "Longest time that the endpoint takes for a command, as to load a model.",
        "s",
    ),
    Option(
        "load-slots",
        read_int(1, 1000),
        "2",
        "Loads from the weight store at once; the same value at every agent.",
    ),
    Option(
        "token-limit",
        read_int(1, 100_000_000),
        "16000",
        "Tokens in service at the start.",
        "tokens",
    ),
    Option(
        "token-limit-min",
        read_int(1, 100_000_000),
        "2000",
        "Lowest value of the adaptive token limit.",
        "tokens",
    ),
    Option(
        "token-limit-max",
        read_int(1, 100_000_000),
        "64000",
        "Highest value of the adaptive token limit.",
        "tokens",
    ),
    Option(
        "largest-share",
        read_float(0.01, 1),
        "0.25",
        "Share of the token limit that one request counts for at most.",
    ),
    Option(
        "max-waiting",
        read_int(1, 1_000_000),
        "1000",
        "Reservations that may wait at once.",
    ),
    Option(
        "quantum-tokens",
        read_int(1, 10_000_000),
        "1000",
        "Tokens that an organisation of weight 1 gets in each round.",
        "tokens",
    ),
    Option(
        "resume-window-s",
        read_float(1, 600),
        "15",
        "Time that a run is kept for an entry whose session was lost.",
        "s",
    ),
    Option(
        "stall-s",
        read_float(0.5, 600),
        "10",
        "Longest pause of the endpoint during an answer.",
        "s",
    ),
    Option(
        "vm-name",
        read_text,
        "-",
        "Name of this VM in the platform's list; - when it isn't listed.",
    ),
    Option(
        "vm-poll-s",
        read_float(0.1, 600),
        "5",
        "Time between two reads of the platform's VM list.",
        "s",
    ),
]

CTL_OPTIONS = [
    Option(
        "entry",
        _read_entries,
        None,
        "Addresses of entries, separated by commas or given several times; "
        "they are tried in turn.",
    ),
    Option("operator-key", read_text, None, "Bearer key of the administration API."),
    Option(
        "request-timeout-s",
        read_float(0.1, 600),
        "30",
        "Longest wait for the answer of one entry.",
        "s",
    ),
]

# Processes started from an operator's shell inherit the variables of acaciarelayctl.
KNOWN_VARIABLES = frozenset(
    option.variable
    for options in (ENTRY_OPTIONS, AGENT_OPTIONS, CTL_OPTIONS)
    for option in options
)
