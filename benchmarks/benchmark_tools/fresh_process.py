"""Runs a measurement in a new process, so that earlier ones do not affect it."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import ParamSpec, TypeVar

MEASUREMENT_TIMEOUT_S = 900.0

Parameters = ParamSpec("Parameters")
ResultT = TypeVar("ResultT")


def run_in_fresh_process(
    measure: Callable[Parameters, ResultT], *args: Parameters.args, **kwargs: Parameters.kwargs
) -> ResultT:
    """Call a function in a new interpreter and return its result.  Raises TimeoutError after 900 s."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=1, mp_context=context) as executor:
        return executor.submit(measure, *args, **kwargs).result(MEASUREMENT_TIMEOUT_S)
