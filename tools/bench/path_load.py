"""Sends short requests to one address as fast as it answers them.

Runs as a separate process, so that sending does not take processor time in the measured
processes: `python -m tools.bench.path_load URL TOKEN TEAM CLASS CALLERS SECONDS`.
"""

import asyncio
import json
import sys
import time

import aiohttp
import uvloop


async def send_all(
    url: str, headers: dict[str, str], body: bytes, callers: int, seconds: float
) -> dict[str, float]:
    """Send requests for some seconds; return their counts and times."""
    times: list[float] = []
    failed = 0
    end = time.perf_counter() + seconds

    async def call(session: aiohttp.ClientSession) -> None:
        nonlocal failed
        while time.perf_counter() < end:
            began = time.perf_counter()
            async with session.post(url, data=body, headers=headers) as answer:
                await answer.read()
                failed += answer.status != 200
            times.append(time.perf_counter() - began)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(call(session) for _ in range(callers)))
    times.sort()
    return {
        "answers": len(times) - failed,
        "failed": failed,
        "p50_ms": times[len(times) // 2] * 1000,
        "p99_ms": times[len(times) * 99 // 100] * 1000,
    }


def main() -> None:
    url, token, team, job_class, callers, seconds = sys.argv[1:]
    headers = {"Authorization": f"Bearer {token}"}
    body = json.dumps({"team": team, "class": job_class, "body": "x" * 200}).encode()
    work = send_all(url, headers, body, int(callers), float(seconds))
    print(json.dumps(uvloop.run(work)))


if __name__ == "__main__":
    main()
