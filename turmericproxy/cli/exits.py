"""Exit codes of the commands."""

from enum import IntEnum

from turmericproxy.core.results import ResultCode


class ExitCode(IntEnum):
    """Exit codes, as described in docs/RESULT-CODES.md."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_FOUND = 6
    UNKNOWN = 7
    NOT_IN_FORCE = 8
    KEY_REFUSED = 9


_EXIT_CODES = {
    ResultCode.BAD_REQUEST: ExitCode.INVALID,
    ResultCode.BODY_TOO_LARGE: ExitCode.INVALID,
    ResultCode.RESOURCE_INVALID: ExitCode.INVALID,
    ResultCode.SETTINGS_INVALID: ExitCode.INVALID,
    ResultCode.RESOURCE_CONFLICT: ExitCode.CONFLICT,
    ResultCode.RESOURCE_IN_USE: ExitCode.CONFLICT,
    ResultCode.RESOURCE_NOT_FOUND: ExitCode.NOT_FOUND,
    ResultCode.PLATFORM_UNAVAILABLE: ExitCode.UNREACHABLE,
    ResultCode.CHANGE_UNKNOWN: ExitCode.UNKNOWN,
    ResultCode.KEY_MISSING: ExitCode.KEY_REFUSED,
    ResultCode.KEY_UNKNOWN: ExitCode.KEY_REFUSED,
}


def get_exit_code(code: int) -> ExitCode:
    """Return the exit code for a result code.

    >>> get_exit_code(602)
    <ExitCode.CONFLICT: 4>
    """
    try:
        return _EXIT_CODES.get(ResultCode(code), ExitCode.FAILED)
    except ValueError:
        return ExitCode.FAILED
