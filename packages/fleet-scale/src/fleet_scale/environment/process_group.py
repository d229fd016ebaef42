"""The child processes of an environment and the temporary folder of their files."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from fleet_scale.environment.processes import ChildProcess, ReplyT, RouterProgram, WorkerProcess
from fleet_scale.messages import Settings


class ProcessGroup:
    """Starts child processes and kills all of them at the end."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-scale-"))
        self._processes: list[ChildProcess] = []
        self._started_by_role = Counter[str]()

    def start_workers(
        self, role: str, settings: Sequence[Settings], first_reply: type[ReplyT]
    ) -> list[tuple[WorkerProcess, ReplyT]]:
        """Start workers in parallel and return each with its first reply; names are numbered within a role.

        Raises RunError if one fails to start.
        """
        workers = []
        for worker_settings in settings:
            self._started_by_role[role] += 1
            name = f"{role}-{self._started_by_role[role]}"
            worker = WorkerProcess(name, self.folder, worker_settings)
            self._processes.append(worker)
            workers.append(worker)
        return [(worker, worker.reply(first_reply)) for worker in workers]

    def start_router(self, name: str, config: Path | None, operators_file: Path | None) -> RouterProgram:
        """Start ``thornjunction run`` with these files, either of which may be absent."""
        program = RouterProgram(name, self.folder, config, operators_file)
        self._processes.append(program)
        return program

    def kill_process(self, process: ChildProcess) -> None:
        """Kill one process and wait until it has exited."""
        self._processes.remove(process)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Kill every process by its id, wait for each, and remove all files."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._processes.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    def resident_mb(self) -> float:
        """Return the resident memory of all processes.  Raises RunError if one has exited."""
        return sum(process.usage().resident_mb for process in self._processes)
