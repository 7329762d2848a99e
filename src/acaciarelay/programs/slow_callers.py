"""Answers that callers read slowly: their memory, metrics and log lines."""

from acaciarelay.platform.headers import decode_request_id
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.transport.buffered_output import AnswerOutputs, BufferedOutput
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["SlowCallers", "answer_memory_bytes"]

BYTES_PER_MB = 1_000_000
# Memory of an entry without answers and bodies, and the part of the rest for answers.
# On a VM of 128 MB the process has 45 MB, bodies 26 MB and answers 28 MB, which leaves
# 29 MB for copies of a single long body or answer, connections and fragmentation.
BASE_MB = 48.0
ANSWER_MEMORY_SHARE = 0.35
MIN_ANSWER_BYTES = 4_000_000


def answer_memory_bytes(memory_mb: float) -> int:
    """Return the bytes that all answers may use in a process with this memory."""
    share_mb = ANSWER_MEMORY_SHARE * (memory_mb - BASE_MB)
    return max(MIN_ANSWER_BYTES, int(share_mb * BYTES_PER_MB))


class SlowCallers:
    """Buffer the answers of all callers, and cut those that hold up others."""

    def __init__(
        self,
        memory_mb: float,
        connections: set[InboundConnection],
        metrics: Metrics,
    ) -> None:
        self.connections = connections
        self.metrics = metrics
        self.outputs = AnswerOutputs(answer_memory_bytes(memory_mb), self.cut)
        self.reported_pauses = 0

    def update_metrics(self) -> None:
        """Set the gauges, and count and log the pauses since the last call."""
        buffers = self.outputs.buffers
        self.metrics.set("answer_bytes", buffers.used_bytes)
        self.metrics.set("paused_answers", len(buffers.paused))
        pauses = self.outputs.pause_count - self.reported_pauses
        if not pauses:
            return
        self.reported_pauses = self.outputs.pause_count
        self.metrics.count("answer_pauses_total", pauses)
        log_event(
            "answers_paused",
            pauses=pauses,
            paused=len(buffers.paused),
            used_bytes=buffers.used_bytes,
            limit_bytes=buffers.limit_bytes,
        )

    def cut(self, output: BufferedOutput) -> None:
        """Reset the connection of a caller without progress, as others need room."""
        for connection in self.connections:
            if connection.output is output:
                break
        else:
            return
        answer = output.answer
        # The handler of a request ends when its answer is whole.
        is_whole = connection.task is None
        self.metrics.count("cut_callers_total", answer="whole" if is_whole else "part")
        log_event(
            "caller_cut",
            request_id=_request_id(connection),
            unread_bytes=answer.unread_bytes,
            without_progress_s=round(output.loop.time() - answer.progress_at, 4),
            answer_whole=is_whole,
        )
        connection.reset()


def _request_id(connection: InboundConnection) -> str:
    if connection.head is None:
        return ""
    return decode_request_id(InboundRequest.from_head(connection.head, b"", 0).headers)
