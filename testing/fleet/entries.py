"""The operator's and the executors' entries in the in-memory store."""

from __future__ import annotations

from collections import abc
import json

from knapweedwharf.fleet import model

CONFIG_KEY = "operator/config"
EXECUTORS = "executors/"
EVACUATIONS = "operator/evacuate/"
HOST = "queue.example"
PREFIX = "/q/"
URGENT_PREFIX = "/u/"
ADVISED_PREFIX = "/a/"
QUEUES = {PREFIX: 1, URGENT_PREFIX: 0, ADVISED_PREFIX: 1}


def desired(
    *,
    keys: abc.Iterable[str] = ("key",),
    guaranteed: int = 0,
    attempts: int = 3,
    standby: abc.Iterable[str] = (),
    enforces_capacity: bool = True,
    slowdown: float = 0.0,
    others: abc.Iterable[str] = (),
) -> bytes:
    """Return a desired state with a queue of each kind.

    :param keys: those of the first account.
    :param standby: names of standby pools, whose machines are off.
    :param enforces_capacity: executors refuse what doesn't fit.
    :param slowdown: multiple of their run times that jobs may take.
    :param others: names of further accounts; each has its name as its key.
    """
    return json.dumps(
        {
            "keys": list(keys),
            "guaranteed": guaranteed,
            "attempts": attempts,
            "standby": list(standby),
            "enforces_capacity": enforces_capacity,
            "slowdown": slowdown,
            "others": list(others),
        }
    ).encode()


def _decode_desired(value: bytes, revision: int) -> model.DesiredSnapshot:
    document = json.loads(value)
    keys = frozenset(document["keys"])
    account = model.Account("acme", keys, document["guaranteed"])
    others = document.get("others", ())
    return model.DesiredSnapshot(
        revision=revision,
        version=revision,
        routes=tuple(
            model.Route(
                name=prefix.strip("/"),
                host=HOST,
                prefix=prefix,
                service="pool",
                priority=priority,
                max_attempts=document["attempts"],
                slowdown=document.get("slowdown", 0.0),
                advice=(
                    model.AdvisorTerms() if prefix == ADVISED_PREFIX else None
                ),
            )
            for prefix, priority in QUEUES.items()
        ),
        services={
            "pool": model.Service(
                "pool", enforces_capacity=document["enforces_capacity"]
            ),
            **{
                name: model.Service(name, is_standby=True)
                for name in document.get("standby", ())
            },
        },
        accounts={
            "acme": account,
            **{
                name: model.Account(name, frozenset({name})) for name in others
            },
        },
        account_by_key={
            **dict.fromkeys(keys, "acme"),
            **{name: name for name in others},
        },
    )


def _decode_executor(_executor_id: str, value: bytes) -> model.Executor:
    document = json.loads(value)
    document["labels"] = tuple(document["labels"])
    return model.Executor(**document)


def _decode_wave(value: bytes) -> model.MaintenanceWave:
    document = json.loads(value)
    document["machine_ids"] = tuple(document["machine_ids"])
    return model.MaintenanceWave(**document)


def _wave_status(number: int, completed: bool) -> tuple[str, bytes]:
    return f"shown/wave/{number}", json.dumps(completed).encode()


def _decode_evacuation(value: bytes) -> None:
    json.loads(value)


STORE_SCHEMA = model.StoreSchema(
    config_key=CONFIG_KEY,
    operator_prefix="operator/",
    executor_prefix=EXECUTORS,
    decode_desired=_decode_desired,
    decode_executor=_decode_executor,
    wave_prefix="operator/wave/",
    decode_wave=_decode_wave,
    wave_status=_wave_status,
    evacuation_prefix=EVACUATIONS,
    decode_evacuation=_decode_evacuation,
)
