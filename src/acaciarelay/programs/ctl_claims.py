"""Commands of acaciarelayctl for the claims of idempotency keys."""

import secrets
from typing import Any, ClassVar

import orjson
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from acaciarelay.programs.ctl_client import AdminClient
from acaciarelay.programs.ctl_commands import CommandResult, CtlCommand, quoted_path
from acaciarelay.programs.ctl_output import format_json

__all__ = ["CLAIM_COMMANDS"]

FINDINGS = {"ran": True, "not-run": False}


class ClaimShowCommand(CtlCommand):
    name = "claim show"
    description = "Print the claim of an idempotency key with its revision."
    arguments: ClassVar[list[Argument]] = [
        argument("organisation", "Organisation that sent the key."),
        argument("key", "Idempotency key."),
    ]

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        path = quoted_path(
            "claims", self.argument("organisation"), self.argument("key")
        )
        answer = await client.call("GET", path)
        return answer.map(format_json)


class ClaimSettleCommand(CtlCommand):
    name = "claim settle"
    description = "Settle a started call after its agent died: it ran, or it did not."
    arguments: ClassVar[list[Argument]] = [
        argument("organisation", "Organisation that sent the key."),
        argument("key", "Idempotency key."),
        argument("finding", "ran, or not-run to free the key for a repeat."),
        argument("revision", "Revision of the claim, as printed by claim show."),
    ]

    def prepare(self) -> bytes:
        finding = self.argument("finding")
        if finding not in FINDINGS:
            self.problems.append(f"finding {finding!r}: must be ran or not-run")
        revision = self.read_number("revision", self.argument("revision"), 1)
        return orjson.dumps({"ran": FINDINGS.get(finding), "revision": revision})

    async def perform(self, client: AdminClient, prepared: bytes) -> CommandResult:
        organisation, key = self.argument("organisation"), self.argument("key")
        path = quoted_path("claims", organisation, key, "settle")
        answer = await client.call("POST", path, prepared, secrets.token_hex(16))
        return answer.map(lambda claim: f"claim {organisation}/{key}: {claim['state']}")


CLAIM_COMMANDS: list[type[CtlCommand]] = [ClaimShowCommand, ClaimSettleCommand]
