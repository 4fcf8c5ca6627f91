"""Export and import of the memory of shares."""

from collections.abc import Iterable, Iterator

from briarthread_agent.attempts.record import Record, RecordState
from briarthread_agent.attempts.record_store import RecordStore
from briarthread_agent.shares.exported_record import ExportedRecord
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.messages.attempt import Attempt

BATCH_BYTES = 4 * 1024 * 1024


def export_shares(
    record_store: RecordStore, shares: Iterable[int]
) -> list[ExportedRecord]:
    """Return what the record store remembers of keys in the shares."""
    wanted = set(shares)
    return [
        _export(record)
        for record in record_store.records.values()
        if record.attempt.keyed and record.attempt.share in wanted
    ]


def import_records(
    record_store: RecordStore,
    service: str,
    answers: Iterable[ExportedRecord],
    limit: int,
) -> None:
    """
    Remember the answers of another holder.

    A key whose run goes on there is kept as running here: whoever asks for
    it waits, and gets the answer when a second message brings it.
    """
    for kept in answers:
        record = record_store.records.get(kept.key)
        if record is None:
            record = _new_record(service, kept, limit)
            record_store.add(record)
        if not record.response.ended:
            _fill(record, kept)


def split_into_batches(answers: list[ExportedRecord]) -> Iterator[list[ExportedRecord]]:
    """Yield the answers in groups of at most about BATCH_BYTES."""
    group: list[ExportedRecord] = []
    size = 0
    for kept in answers:
        group.append(kept)
        size += len(kept.body)
        if size > BATCH_BYTES:
            yield group
            group, size = [], 0
    yield group


def _export(record: Record) -> ExportedRecord:
    answer = record.response
    return ExportedRecord(
        key=record.attempt.key,
        account=record.attempt.account,
        share=record.attempt.share,
        fingerprint=record.fingerprint,
        expires=record.expires,
        finished=answer.finished,
        failed=answer.error is not None,
        status=answer.status if answer.finished else 0,
        headers=list(answer.headers) if answer.finished else [],
        body=b"".join(answer.chunks) if answer.finished else b"",
    )


def _new_record(service: str, kept: ExportedRecord, limit: int) -> Record:
    attempt = Attempt(
        key=kept.key,
        id=f"imported/{kept.key}",
        service=service,
        incarnation="",
        deadline=kept.expires,
        account=kept.account,
        method="",
        path="",
        idempotent=False,
        keyed=True,
        share=kept.share,
    )
    record = Record(attempt, kept.fingerprint, kept.expires, limit)
    record.imported = True
    record.state = RecordState.RUNNING
    return record


def _fill(record: Record, kept: ExportedRecord) -> None:
    if kept.finished:
        record.response.start(kept.status, tuple(kept.headers))
        record.response.add(kept.body)
        record.response.finish()
        record.state = RecordState.ENDED
    elif kept.failed:
        record.response.fail(
            RequestError(ErrorKind.OUTCOME_UNKNOWN, "the run gave no answer")
        )
        record.state = RecordState.ENDED
