"""Export and import of the records of shares."""

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
    """Return the stored records of the keys in the shares."""
    selected = set(shares)
    return [
        _export(record)
        for record in record_store.records.values()
        if record.attempt.keyed and record.attempt.share in selected
    ]


def import_records(
    record_store: RecordStore,
    service: str,
    exported_records: Iterable[ExportedRecord],
    limit: int,
) -> None:
    """
    Store the records of another holder.

    A key whose run continues there is stored as running here. Requests with this
    key wait until a second hand-over message contains the response.
    """
    for exported in exported_records:
        record = record_store.records.get(exported.key)
        if record is None:
            record = _imported_record(service, exported, limit)
            record_store.add(record)
        if not record.response.ended:
            _copy_response(record, exported)


def split_into_batches(records: list[ExportedRecord]) -> Iterator[list[ExportedRecord]]:
    """Yield the records in batches whose bodies take about BATCH_BYTES at most."""
    batch: list[ExportedRecord] = []
    size = 0
    for exported in records:
        batch.append(exported)
        size += len(exported.body)
        if size > BATCH_BYTES:
            yield batch
            batch, size = [], 0
    yield batch


def _export(record: Record) -> ExportedRecord:
    response = record.response
    return ExportedRecord(
        key=record.attempt.key,
        account=record.attempt.account,
        share=record.attempt.share,
        fingerprint=record.fingerprint,
        expires=record.expires,
        finished=response.finished,
        failed=response.error is not None,
        status=response.status if response.finished else 0,
        headers=list(response.headers) if response.finished else [],
        body=b"".join(response.chunks) if response.finished else b"",
    )


def _imported_record(service: str, exported: ExportedRecord, limit: int) -> Record:
    attempt = Attempt(
        key=exported.key,
        id=f"imported/{exported.key}",
        service=service,
        incarnation="",
        deadline=exported.expires,
        account=exported.account,
        method="",
        path="",
        idempotent=False,
        keyed=True,
        share=exported.share,
    )
    record = Record(attempt, exported.fingerprint, exported.expires, limit)
    record.imported = True
    record.state = RecordState.RUNNING
    return record


def _copy_response(record: Record, exported: ExportedRecord) -> None:
    if exported.finished:
        record.response.start(exported.status, tuple(exported.headers))
        record.response.add(exported.body)
        record.response.finish()
        record.state = RecordState.ENDED
    elif exported.failed:
        record.response.fail(
            RequestError(
                ErrorKind.OUTCOME_UNKNOWN, "the run ended without a complete response"
            )
        )
        record.state = RecordState.ENDED
